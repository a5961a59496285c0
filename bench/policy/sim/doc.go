// Package sim plays load on the decisions of package policy in virtual time: daemons
// that gather over shards of leaves with slots, queues, pauses and slow spells. Twelve
// seconds of eleven daemons and forty leaves take 0.1 to 0.2 s of one core, the same seed
// gives the same result, and no processor time, lost packet or restart is played: what
// holds here is tried on real processes next.
package sim
