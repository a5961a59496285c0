// Package sim plays load on the decisions of package policy in virtual time: daemons
// that gather over shards of leaves with slots, queues, pauses and slow spells. Ten
// seconds of eleven daemons and a hundred leaves take about a second, the same seed gives the
// same result, and no processor time, lost packet or restart is played: what holds here
// is tried on real processes next.
package sim
