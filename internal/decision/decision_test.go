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
type recordingOutput struct {
	mu     sync.Mutex
	writes [][]byte
}

func (o *recordingOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes = append(o.writes, bytes.Clone(p))
	return len(p), nil
}

func (o *recordingOutput) lines(t *testing.T) []map[string]any {
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
	out := &recordingOutput{}
	log := New(out)
	if err := log.RedirectKlog(); err != nil {
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
type blockedOutput struct {
	recordingOutput
	unblock chan struct{}
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.unblock
	return s.recordingOutput.Write(p)
}

// The output blocks. Logging must not block, or requests would wait for it: lines beyond
// the queue are dropped, and their number is logged later.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	log := New(out)
	const lines = 20 * queueCapacity
	for i := range lines {
		log.newLine("info", "gather").Int("n", int64(i)).endWith("answered")
	}
	close(out.unblock)
	time.Sleep(3 * flushInterval) // until the dropped lines are reported
	log.newLine("info", "gather").Int("n", lines).endWith("answered")
	log.Close()
	got := out.lines(t)
	reported, kept := 0.0, 0
	for _, l := range got {
		if l["what"] == "left out" {
			reported += l["lines"].(float64)
		} else {
			kept++
		}
	}
	if kept+int(reported) != lines+1 {
		t.Errorf("%d lines written and %v reported as dropped, of %d", kept, reported, lines+1)
	}
	if last := got[len(got)-1]; last["n"] != float64(lines) {
		t.Errorf("got last line %v", last)
	}
}

// Guards against counting a dropped line twice when many goroutines log concurrently.
func TestConcurrentWritersCountEachLineOnce(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	log := New(out)
	const writers, each = 64, 2000
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for i := range each {
				log.newLine("info", "gather").Int("n", int64(i)).endWith("answered")
			}
		})
	}
	wg.Wait()
	close(out.unblock)
	time.Sleep(3 * flushInterval)
	log.Close()
	if n := out.linesAccountedFor(t); n != writers*each {
		t.Errorf("%d lines written or reported as dropped, of %d", n, writers*each)
	}
}

// Guards against counting a dropped line twice when lines are queued during a flush.
func TestFlushDuringWritesCountsEachLineOnce(t *testing.T) {
	const logs, each = 16, 50000
	var wg sync.WaitGroup
	for range logs {
		wg.Go(func() {
			out := &blockedOutput{unblock: make(chan struct{})}
			log := New(out)
			go func() {
				time.Sleep(2 * flushInterval)
				close(out.unblock)
			}()
			for i := range each {
				log.newLine("info", "gather").Int("n", int64(i)).endWith("answered")
				if i%1000 == 0 {
					time.Sleep(flushInterval / 20)
				}
			}
			log.Close()
			if n := out.linesAccountedFor(t); n != each {
				t.Errorf("%d lines written or reported as dropped, of %d", n, each)
			}
		})
	}
	wg.Wait()
}

// linesAccountedFor returns the number of lines written or reported as dropped.
func (s *blockedOutput) linesAccountedFor(t *testing.T) int {
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
func TestLineRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &recordingOutput{}
		log := New(out)
		time.Sleep(time.Millisecond)
		for range maxLinesPerSecond + 100 {
			log.Line("single", "answered").End()
		}
		time.Sleep(2 * flushInterval)
		log.Close()
		got := out.lines(t)
		if len(got) != maxLinesPerSecond+1 || got[len(got)-1]["lines"] != 100.0 {
			t.Errorf("got %d lines, the last %v", len(got), got[len(got)-1])
		}
	})
}

func TestNilLogDiscardsLines(*testing.T) {
	var log *Log
	log.Line("gather", "answered").Str("id", "x").Int("n", 1).Ms("took", 1).Bool("b", true).Err(io.EOF).End()
}

func BenchmarkLine(b *testing.B) {
	log := New(io.Discard)
	defer log.Close()
	b.ReportAllocs()
	for b.Loop() {
		log.newLine("info", "gather").Str("id", "30fb27fe0a91d3f6").Str("route", "r-utvjfwk").Int("status", 200).
			Ms("took", 139900*time.Microsecond).Ms("wait", time.Second).Int("sends", 56).Int("hedges", 2).Int("parts", 27).End()
	}
}
