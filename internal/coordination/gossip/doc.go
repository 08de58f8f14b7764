// Package gossip exchanges state between control processes.
//
// # What is exchanged
//
// Each instance is the origin of entries: its own record, reports on the
// upstreams that it watches, and its evidence rows. An origin's version rises
// with each round of 500 ms, so it is the heartbeat too; entries that changed
// since the last round carry the new version. A receiver that has all entries
// up to a version needs only those above it.
//
// Stops, shares, leaving upstreams, engine deaths and instances that are not
// live are small sets that merge without an origin, because they must outlive
// it. They are compared by one hash each and sent whole when it differs. The
// document is compared by generation and sent as the changed rows.
//
// # How the size stays bounded
//
// A digest holds one version for each origin of the sender's region, as a
// distance from the highest, in the order of the sorted roster; a hash stands
// for the roster. That takes one byte for each origin, and names are sent
// only while the rosters differ. Origins of other regions are compared in one
// of four exchanges when there are many. Reports that are not wide (load
// figures) stay in the region. With 640 instances in 4 regions a digest has
// about 250 bytes, and 730 with all regions.
//
// Instances talk to a random set of 12 partners of their region and 4 of other
// regions, of which one is replaced each 10 s, so that the number of open
// connections does not grow with the fleet.
//
// # Urgent changes
//
// A stop, an engine death, a leaving upstream or instance is sent at once to 3
// random partners, and once more by each instance that learns it that way or
// in an exchange. A new document starts 3 exchanges at once.
package gossip
