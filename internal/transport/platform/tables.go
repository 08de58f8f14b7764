package platform

// StateTable is the table that holds all rows of the system. The keys' first
// part tells the kind: environments, moves, leases, calls.
const StateTable = "sequoiavalve"
