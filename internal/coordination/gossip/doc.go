// Package gossip exchanges state between control processes.
//
// # What is exchanged
//
// Each instance is the origin of entries: its own record, reports on the
// upstreams that it watches, and its evidence rows. An origin's version rises
// with each round of 500 ms, so the version is also the heartbeat. Entries that
// changed since the last round carry the new version. A receiver that has all
// entries up to a version needs only entries with higher versions.
//
// Version stops, shares of version moves, leaving upstreams, engine deaths and
// states of instances that are not live are small sets. They merge without an
// origin, because they must outlive the instance that published them. Digests
// carry one hash for each set, and a set is sent as a whole when its hashes
// differ. The environment document is compared by generation, and only its
// changed rows are sent.
//
// # How the size stays bounded
//
// A digest holds one version for each origin of the sender's region, in the
// order of the region's roster, the list of its origins sorted by ID. Versions
// are encoded as distances from the highest one, which takes one byte for each
// origin. A hash stands for the roster; the origins' names are sent only while
// the rosters differ. Origins of other regions are compared in only one of four
// exchanges when there are more than 64. Reports that are not wide (load
// figures) stay in the region. With 640 instances in 4 regions a digest has
// about 250 bytes, and 730 bytes with all regions.
//
// Each instance exchanges with a random set of 12 partners of its region and 4
// of other regions, and replaces one partner of each set every 10 s. The number
// of its open connections therefore does not grow with the fleet.
//
// # Urgent changes
//
// A stop, an engine death, or a leaving upstream or instance is sent to 3 random
// partners at once. Each instance that receives a change for the first time, in
// this way or in an exchange, sends it on once in the same way. A new document
// starts 3 exchanges at once.
package gossip
