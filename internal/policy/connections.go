package policy

const (
	// connectionUse is the part of a leaf's connections that is shared out: the rest is
	// for daemons that have just joined.
	connectionUse = 0.9
	// leastConnections are kept whatever the share: with one, a request behind a
	// straggler could not be sent at all.
	leastConnections = 2
	// unstatedConnections is the limit to a leaf that states none.
	unstatedConnections = 8
)

// Connections returns how many connections each of so many daemons may have open to a
// leaf that accepts at most most from all together; of either, 0 is not known.
//
// Shares are even. Where daemons of other domains ask those near a leaf for its parts,
// four for each near one and one for the others served fewer in time than two each
// (mean worth of three days with slow shards 0.758 and 0.762): further sends to a shard
// whose near leaf is slow go to the other domain.
func Connections(most, daemons int) int {
	if most <= 0 {
		return unstatedConnections
	}
	return max(leastConnections, int(connectionUse*float64(most)/float64(known(daemons))))
}
