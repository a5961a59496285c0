// Package standin provides small stand-ins of what surrounds the query tier:
// leaves that speak the published target protocol over documents that can be
// checked, with slots, connection cap, latency and faults that can be changed
// while they run, and the platform's list of VMs.
//
// Every document of a query service lies in exactly one shard of each index
// version, so that a lost or doubled hit is seen by whoever reads the answer.
package standin
