package leaf

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

const (
	usualLatency      = 2 * time.Millisecond
	stragglerLatency  = 100 * time.Millisecond
	callerTimeout     = 10 * time.Millisecond // as if a hedged request had won by then
	stragglerInterval = 10                    // one request in this many is a straggler
)

// BenchmarkCancel compares three ways to handle a straggler that its caller has abandoned:
// close the connection and return the permit at once, wait for the reply, or wait for as long
// as opening a connection takes and then cancel it on the leaf. The leaf gives this daemon one
// slot, and either honours cancellation or ignores it. Abandoned requests count as done.
// most-in-flight above 1 means that the leaf was overloaded.
func BenchmarkCancel(b *testing.B) {
	for _, honours := range []bool{true, false} {
		for _, strategy := range []string{"close", "wait", "tell"} {
			b.Run(fmt.Sprintf("%s/honours=%v", strategy, honours), func(b *testing.B) {
				f := newStragglingLeaf(b, honours)
				config := ConnConfig{MaxConns: 8, ConnectTime: 6 * time.Millisecond}
				if strategy == "wait" {
					config.ConnectTime = time.Hour
				}
				r := newFixture(b, f.leaf(), 1, config)
				send := func(ctx context.Context, p *admit.Permit) {
					r.sender.Send(ctx, r.leaf, request("1"), p)
				}
				if strategy == "close" {
					send = newClosingSend(b, r.leaf)
				}
				b.ResetTimer()
				f.runLoad(b, r.gates, r.leaf, send)
				b.ReportMetric(float64(f.maxInFlight.Load()), "most-in-flight")
				b.ReportMetric(float64(f.connsAccepted.Load())/float64(b.N)*100, "conns/100req")
			})
		}
	}
}

func newStragglingLeaf(b *testing.B, honours bool) *fakeLeaf {
	f := newFakeLeaf(b)
	var n atomic.Int64
	f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
		d := usualLatency
		if n.Add(1)%stragglerInterval == 0 {
			d = stragglerLatency
		}
		var cancelled <-chan struct{}
		if honours {
			cancelled = r.Context().Done()
		}
		select {
		case <-time.After(d):
			writeReply(w, r, q)
		case <-cancelled:
		}
	}
	return f
}

// newClosingSend returns a function that sends with a net/http client, which closes the
// connection when the caller's context ends.
func newClosingSend(b *testing.B, leaf settings.Leaf) func(context.Context, *admit.Permit) {
	tr := &http.Transport{MaxConnsPerHost: 8}
	b.Cleanup(tr.CloseIdleConnections)
	c := &http.Client{Transport: tr}
	return func(ctx context.Context, p *admit.Permit) {
		defer p.Done(admit.Answered, 0)
		body, _ := json.Marshal(request("1"))
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+leaf.Addr+contract.LeafQueryPath, bytes.NewReader(body))
		if resp, err := c.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
}

// runLoad sends b.N requests from two concurrent callers.
func (f *fakeLeaf) runLoad(b *testing.B, g *admit.Gates, leaf settings.Leaf, send func(context.Context, *admit.Permit)) {
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				p, err := g.Acquire(context.Background(), leaf.Addr, settings.Urgent)
				if err != nil {
					b.Error(err)
					return
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				timer := time.AfterFunc(callerTimeout, cancel)
				send(ctx, p)
				timer.Stop()
				cancel()
			}
		})
	}
	wg.Wait()
}
