package platform

// StateTable is the table that holds all rows of the system. The first
// segment of a row's key is the kind of the row: environments, moves, leases or
// calls.
const StateTable = "sequoiavalve"
