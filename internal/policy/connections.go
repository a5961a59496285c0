package policy

const (
	// connectionUse is the part of a leaf's connections that is shared out: the rest is
	// for daemons that have just joined.
	connectionUse = 0.9
	// farShare is the part of them for daemons of other failure domains than the leaf's,
	// where they ask daemons near the leaf for first sends and connect to it only for
	// further ones: about one send in ten.
	farShare = 0.25
	// LeastConnections are kept whatever the shares: with one, a request behind a
	// straggler could not be sent at all.
	LeastConnections = 2
	// UnstatedConnections is the limit to a leaf that states none.
	UnstatedConnections = 8
)

// Sharing says among whom the connections of a leaf are shared.
type Sharing struct {
	Daemons int // that send to leaves
	Near    int // of them, in the leaf's failure domain
	Local   bool
	// Delegated is true where daemons elsewhere ask those near the leaf for most of
	// what they want of it.
	Delegated bool
}

// Connections returns how many connections a daemon may have open to a leaf that
// accepts at most so many from all daemons together.
//
// With 28 connections and 11 daemons an even share is two each, and a leaf that pauses
// holds both while more requests come. Where daemons elsewhere delegate, the four near a
// leaf have four each and the seven others one.
func Connections(most int, s Sharing) int {
	if most <= 0 {
		return UnstatedConnections
	}
	pool := connectionUse * float64(most)
	even := max(LeastConnections, int(pool/float64(max(s.Daemons, 1))))
	others := s.Daemons - s.Near
	if !s.Delegated || s.Near <= 0 || others <= 0 {
		return even
	}
	far := max(1, int(farShare*pool/float64(others)))
	near := int((pool - float64(far*others)) / float64(s.Near))
	switch {
	case near < even:
		return even
	case s.Local:
		return near
	}
	return far
}
