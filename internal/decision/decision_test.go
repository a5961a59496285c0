package decision

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"
)

// recordingOutput records each write separately.
type output struct {
	mu     sync.Mutex
	writes [][]byte
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes = append(o.writes, bytes.Clone(p))
	return len(p), nil
}

func (o *output) lines(t *testing.T) []map[string]any {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []map[string]any
	for _, w := range o.writes {
		if !bytes.HasSuffix(w, []byte("\n")) {
			t.Errorf("write ends in the middle of a line: %q", w[max(0, len(w)-60):])
		}
		for _, text := range strings.Split(strings.TrimSuffix(string(w), "\n"), "\n") {
			var line map[string]any
			if err := json.Unmarshal([]byte(text), &line); err != nil {
				t.Errorf("%v: %q", err, text)
				continue
			}
			out = append(out, line)
		}
	}
	return out
}

// Decision lines and klog lines go to one output, in blocks. They must be whole JSON lines
// in the order in which they were logged, or a request can't be followed by its id.
func TestLinesAreWholeAndInOrder(t *testing.T) {
	out := &output{}
	log := New(out)
	if err := log.TakeKlog(); err != nil {
		t.Fatal(err)
	}
	defer klog.SetOutput(io.Discard)
	const pairs = 150
	for i := range pairs {
		log.Line("gather", "answered").Str("id", fmt.Sprintf("a \"b\"\n%d", i)).Int("n", int64(i)).
			Ms("took", 1500*time.Microsecond).Bool("repeatable", true).Err(errors.New("x\x00y")).End()
		klog.Warningf("control: leads n=%d %s", i, strings.Repeat("long ", 20))
	}
	log.Close()
	lines := out.lines(t)
	if len(lines) != 2*pairs {
		t.Fatalf("got %d lines", len(lines))
	}
	for i := range pairs {
		a, b := lines[2*i], lines[2*i+1]
		if a["n"] != float64(i) || a["part"] != "gather" || a["what"] != "answered" || a["took"] != 1.5 || a["level"] != "info" {
			t.Fatalf("line %d: %v", 2*i, a)
		}
		if b["part"] != "control" || b["level"] != "warning" || !strings.HasPrefix(b["what"].(string), fmt.Sprintf("leads n=%d ", i)) {
			t.Fatalf("line %d: %v", 2*i+1, b)
		}
	}
}

// blockedOutput blocks every write until unblock is closed.
type stuck struct {
	output
	gate chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	return s.output.Write(p)
}

// The output blocks. Logging must not block, or requests would wait for it: lines beyond
// the queue are dropped, and their number is logged later.
func TestLogNeverBlocks(t *testing.T) {
	out := &stuck{gate: make(chan struct{})}
	log := New(out)
	const lines = 20 * queuedLines
	for i := range lines {
		log.line("info", "gather").Int("n", int64(i)).end("answered")
	}
	close(out.gate)
	time.Sleep(3 * flushEvery) // until the dropped lines are reported
	log.line("info", "gather").Int("n", lines).end("answered")
	log.Close()
	got := out.lines(t)
	told, kept := 0.0, 0
	for _, l := range got {
		if l["what"] == "left out" {
			told += l["lines"].(float64)
		} else {
			kept++
		}
	}
	if kept+int(told) != lines+1 {
		t.Errorf("%d lines written and %v reported as dropped, of %d", kept, told, lines+1)
	}
	if last := got[len(got)-1]; last["n"] != float64(lines) {
		t.Errorf("got last line %v", last)
	}
}

// Guards against counting a dropped line twice when many goroutines log concurrently.
func TestLinesOfManyWritersAreCountedOnce(t *testing.T) {
	out := &stuck{gate: make(chan struct{})}
	log := New(out)
	const writers, each = 64, 2000
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for i := range each {
				log.line("info", "gather").Int("n", int64(i)).end("answered")
			}
		})
	}
	wg.Wait()
	close(out.gate)
	time.Sleep(3 * flushEvery)
	log.Close()
	if n := out.counted(t); n != writers*each {
		t.Errorf("%d lines written or reported as dropped, of %d", n, writers*each)
	}
}

// Guards against counting a dropped line twice when lines are queued during a flush.
func TestLinesWrittenOutMeanwhileAreCountedOnce(t *testing.T) {
	const logs, each = 16, 50000
	var wg sync.WaitGroup
	for range logs {
		wg.Go(func() {
			out := &stuck{gate: make(chan struct{})}
			log := New(out)
			go func() {
				time.Sleep(2 * flushEvery)
				close(out.gate)
			}()
			for i := range each {
				log.line("info", "gather").Int("n", int64(i)).end("answered")
				if i%1000 == 0 {
					time.Sleep(flushEvery / 20)
				}
			}
			log.Close()
			if n := out.counted(t); n != each {
				t.Errorf("%d lines written or reported as dropped, of %d", n, each)
			}
		})
	}
	wg.Wait()
}

// linesAccountedFor returns the number of lines written or reported as dropped.
func (s *stuck) counted(t *testing.T) int {
	n := 0
	for _, l := range s.lines(t) {
		if l["what"] == "left out" {
			n += int(l["lines"].(float64))
		} else {
			n++
		}
	}
	return n
}

// Lines beyond the rate limit must be dropped, and their number logged.
func TestRateOfLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		log := New(out)
		time.Sleep(time.Millisecond)
		for range linesPerSecond + 100 {
			log.Line("single", "answered").End()
		}
		time.Sleep(2 * flushEvery)
		log.Close()
		got := out.lines(t)
		if len(got) != linesPerSecond+1 || got[len(got)-1]["lines"] != 100.0 {
			t.Errorf("got %d lines, the last %v", len(got), got[len(got)-1])
		}
	})
}

func TestNilLog(*testing.T) {
	var log *Log
	log.Line("gather", "answered").Str("id", "x").Int("n", 1).Ms("took", 1).Bool("b", true).Err(io.EOF).End()
}

func BenchmarkLine(b *testing.B) {
	log := New(io.Discard)
	defer log.Close()
	b.ReportAllocs()
	for b.Loop() {
		log.line("info", "gather").Str("id", "30fb27fe0a91d3f6").Str("route", "r-utvjfwk").Int("status", 200).
			Ms("took", 139900*time.Microsecond).Ms("wait", time.Second).Int("sends", 56).Int("hedges", 2).Int("parts", 27).End()
	}
}
