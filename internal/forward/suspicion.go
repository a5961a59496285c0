package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/quarantine"
)

var leafEnds = metrics.GetOrRegisterCounter("forward.leaf_ends", metrics.DefaultRegistry)

// fingerprint names the request, whichever attempt of it this is.
func (r *Request) fingerprint() quarantine.Fingerprint {
	q := quarantine.Request{Method: r.Method, Host: r.Host, URI: r.URI, Caller: r.Caller, Body: r.Body, Length: int64(len(r.Body))}
	if r.Stream != nil {
		q.Length = r.Stream.Length
	}
	return q.Fingerprint()
}

// noteEnd follows what became of the leaves that were sent the request.
func (r *run) noteEnd(s *shard, res *result) {
	switch {
	case res.err == nil && !res.reply.Refused:
		r.survived = true
	case hasEnded(res.err):
		r.ends++
		leafEnds.Inc(1)
		r.e.cfg.Log.Line(r.part(), "leaf ended").Str("id", r.req.ID).Str("request", r.req.fingerprint().String()).
			Str("service", s.service).Str("leaf", res.leaf.ID).Ms("after", time.Since(r.req.Arrived)).Ms("took", res.took).
			Int("ends", int64(r.ends)).Bool("survived", r.survived).Int("in_flight", int64(r.inFlight())).
			Bool("delegated", res.set != nil).End()
	}
}

// inFlight returns how many sends are under way.
func (r *run) inFlight() int {
	n := 0
	for i := range r.shards {
		n += len(r.shards[i].flights)
	}
	return n
}
