package standin

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/vm"
)

const maxBodyBytes = 4 << 20

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func (l *Leaf) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+contract.LeafQueryPath, l.serveQuery)
	mux.HandleFunc("GET "+contract.LeafStatusPath, l.serveStatus)
	return mux
}

func (l *Leaf) serveQuery(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	l.counts.lastArrival.Store(arrived.UnixNano())
	var q contract.LeafRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &q)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b := l.Behavior()
	if l.refuse(w, &q, b) {
		return
	}
	if l.chance(b.EarlyResetShare) {
		resetConn(r)
		return
	}
	shards, held := l.lookup(q.Service, q.Shard, q.IndexVersion)
	if !held {
		l.counts.notHeld.Add(1)
		writeRefusal(w, http.StatusConflict, &q, "shard not held at that index version")
		return
	}
	deadline := arrived.Add(time.Duration(q.DeadlineMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if err := l.slots.acquire(ctx); err != nil {
		l.counts.expired.Add(1)
		refuseWith(w, http.StatusServiceUnavailable, &q, b, err.Error())
		return
	}
	if !time.Now().Before(deadline) {
		l.slots.release()
		l.counts.expired.Add(1)
		refuseWith(w, http.StatusServiceUnavailable, &q, b, errExpired.Error())
		return
	}
	l.runs.add(RunKey{Request: runID(&q), Service: q.Service, Shard: q.Shard}, q.Repeatable)
	if b.CrashKey != "" && runKey(&q) == b.CrashKey {
		l.slots.release()
		go l.crash(time.Duration(b.CrashFor))
		<-r.Context().Done() // crash closes the connections
		return
	}
	reply, ok := l.run(ctx, r, &task{LeafRequest: q, shards: shards}, b)
	// Release the slot before the reply is written: a sender that starts its next
	// request on the reply must not exceed the slots.
	l.slots.release()
	switch {
	case !ok:
		l.counts.cancelled.Add(1)
		http.Error(w, "stopped", http.StatusGatewayTimeout)
	case l.chance(b.ResetShare):
		resetConn(r)
	default:
		l.counts.replies.Add(1)
		writeJSON(w, reply)
	}
}

// refuse refuses the request before it runs if b says so, and reports whether it did.
func (l *Leaf) refuse(w http.ResponseWriter, q *contract.LeafRequest, b Behavior) bool {
	switch {
	case b.Draining:
		l.counts.whileDraining.Add(1)
		refuseWith(w, http.StatusServiceUnavailable, q, b, "draining")
	case l.chance(b.RefuseShare):
		l.counts.refused.Add(1)
		refuseWith(w, b.RefuseStatus, q, b, "shedding load")
	default:
		return false
	}
	return true
}

func refuseWith(w http.ResponseWriter, status int, q *contract.LeafRequest, b Behavior, reason string) {
	seconds := int(math.Ceil(time.Duration(b.RetryAfter).Seconds()))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	writeRefusal(w, status, q, reason)
}

func writeRefusal(w http.ResponseWriter, status int, q *contract.LeafRequest, reason string) {
	writeJSONStatus(w, status, q.Refusal(reason))
}

// task is a request with the number of shards of its index version on arrival. A request
// whose version is retired while it runs is still answered from that version.
type task struct {
	contract.LeafRequest
	shards uint32
}

// run processes q. It returns false if the caller or the deadline cancelled it.
func (l *Leaf) run(ctx context.Context, r *http.Request, q *task, b Behavior) (*contract.LeafReply, bool) {
	switch {
	case l.chance(b.HangShare):
		<-r.Context().Done()
		return nil, false
	case l.chance(b.LateShare):
		delay := time.Duration(q.DeadlineMS)*time.Millisecond + time.Duration(b.LateBy)
		if !vm.Sleep(r.Context(), delay) {
			return nil, false
		}
	case !vm.Sleep(ctx, l.latency(b)):
		return nil, false
	}
	return l.reply(q, b), true
}

// latency draws the processing time of one request.
func (l *Leaf) latency(b Behavior) time.Duration {
	d := float64(b.Latency)
	l.mu.Lock()
	if b.Spread > 0 {
		d *= math.Exp(b.Spread * l.random.NormFloat64())
	}
	if b.StragglerShare > 0 && l.random.Float64() < b.StragglerShare {
		d *= b.StragglerFactor
	}
	cold := time.Since(l.started) < time.Duration(b.ColdStart)
	l.mu.Unlock()
	if cold {
		d *= b.ColdFactor
	}
	return time.Duration(d)
}

// reply returns the reply to q or, depending on b, one for another request or index version.
func (l *Leaf) reply(q *task, b Behavior) *contract.LeafReply {
	answered := *q
	l.mu.Lock()
	if l.previous != nil && b.CrossShare > 0 && l.random.Float64() < b.CrossShare {
		answered = *l.previous
	}
	l.previous = q
	l.mu.Unlock()
	if l.chance(b.WrongVersionShare) {
		answered.IndexVersion++
	}
	origin := Origin{
		Version:   answered.IndexVersion,
		Shards:    answered.shards,
		Documents: l.documents,
		RunKey:    runKey(&answered.LeafRequest),
	}
	return &contract.LeafReply{
		ID:           answered.ID,
		Attempt:      answered.Attempt,
		Service:      answered.Service,
		Shard:        answered.Shard,
		IndexVersion: answered.IndexVersion,
		Hits:         Hits(answered.Service, answered.Shard, origin),
	}
}

// lookup returns the number of shards of an index version, and whether this leaf holds shard.
func (l *Leaf) lookup(service string, shard uint32, version uint64) (uint32, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.indexes {
		if x.Service != service || x.Version != version {
			continue
		}
		for _, s := range x.HeldShards {
			if s == shard {
				return x.Shards, true
			}
		}
	}
	return 0, false
}

// runID returns the identity under which a run is counted. A resend by the caller is a new
// request to the tier with another id, and is recognized by the run_key in its body.
func runID(q *contract.LeafRequest) string {
	if key := runKey(q); key != "" {
		return key
	}
	return q.ID
}

// runKey returns the run_key of the body, or "" if the body has none.
func runKey(q *contract.LeafRequest) string {
	var body struct {
		RunKey string `json:"run_key"`
	}
	if json.Unmarshal(q.Body, &body) != nil {
		return ""
	}
	return body.RunKey
}

func resetConn(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*countedConn); ok {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, v any) { writeJSONStatus(w, http.StatusOK, v) }

func writeJSONStatus(w http.ResponseWriter, status int, v any) {
	out, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	w.WriteHeader(status)
	_, _ = w.Write(out)
}
