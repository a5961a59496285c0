package policy

import "time"

const (
	// maxExtraTime bounds how long an exchange may go on after its reply is no longer needed.
	maxExtraTime = 100 * time.Millisecond
	// maxSharedConnections is the largest share of a leaf's connections for which an
	// abandoned exchange goes on. A daemon with more connections has another one for its
	// next request.
	maxSharedConnections = 4
	// silentMedians is the number of median reply times after which a leaf without a reply
	// is taken for paused or overloaded.
	silentMedians = 3
	// silentExtraMedians is the extra time for such a leaf. It suffices for a reply that is
	// only slow.
	silentExtraMedians = 0.5
	// WaitedExtraTime bounds the extra time while another call waits for a connection to the
	// leaf. A new connection would take 6 ms of a slot and two round trips.
	WaitedExtraTime = 8 * time.Millisecond
)

// AbandonedSend describes a send whose reply is no longer needed.
type AbandonedSend struct {
	MedianLatency time.Duration // usual reply time of the route; 0: unknown
	Elapsed       time.Duration // since the request was written
	Remaining     time.Duration // until the deadline of the request
	Connections   int           // this daemon's share of the leaf's connections
	Idempotent    bool          // the request may run more than once
	BodySent      bool          // the request was written whole
	Leaving       bool          // the caller has left, or the process shuts down
	Waited        bool          // another call waits for a connection to the leaf
}

// ExtraTime returns how long the exchange may go on before its connection is closed. A reply
// within that time keeps the connection, and the leaf is spared a new one, which takes 6 ms of
// one of its slots.
//
// The rule answers a load in which about one in ten sends is hedged, each daemon has one or two
// connections to a leaf, and a leaf pauses for 150 to 250 ms every 3.6 to 6 s. A reply that is
// merely late arrives within three medians. A leaf that is silent for longer is most likely in a
// pause, of which more than the extra time is left: its connection is closed at that point, so
// that the leaf finds the end of the stream when it resumes and drops the request. Running it
// would take a median reply time of a slot, which is longer than opening a connection.
//
// While another call waits for a connection, the extra time is at most what that call would
// need for a new one.
func (s AbandonedSend) ExtraTime() time.Duration {
	if s.Leaving || !s.Idempotent || !s.BodySent || s.MedianLatency <= 0 || s.Connections > maxSharedConnections {
		return 0
	}
	short := time.Duration(silentExtraMedians * float64(s.MedianLatency))
	extra := min(max(silentMedians*s.MedianLatency-s.Elapsed, short), maxExtraTime)
	if s.Waited {
		extra = min(extra, WaitedExtraTime)
	}
	return max(0, min(extra, s.Remaining))
}
