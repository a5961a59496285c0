// Package standin implements stand-ins for the systems around the query tier: leaves that
// speak the published target protocol, and the platform's list of VMs. Slots, connection
// limit, latency and faults of a leaf can be changed while it runs.
//
// Every document of a query service is in exactly one shard of each index version, so
// that the reader of an answer can detect lost and duplicated hits.
package standin
