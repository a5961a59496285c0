// Package query answers a caller's query over every shard of the query services
// below a path of the settings tree.
//
// The leaves of a service are divided into groups. Each group is placed on a few daemons,
// its homes, which are the only ones that send requests to its leaves (package scatter).
// The daemon that a caller reached is the entry of the query: it validates the request,
// pins an index version, sends one sub-query to a home of each group, and merges the
// answers. The coverage of the merged answer counts every shard that did not answer. A
// non-repeatable request is run only by the daemon that issued its session (package
// session).
package query
