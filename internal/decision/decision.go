// Package decision writes the log of a process, one JSON object a line: its own lines,
// one for each decision that touches a request, and those of klog, in the order in which
// they were made. Writing never blocks and is bounded: a line that would go beyond the
// rate, or that a slow reader of the output leaves no place for, is left out, and how
// many were is told in a line of its own.
package decision

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// queuedLines is how many lines wait to be written at most.
	queuedLines = 512
	flushEvery  = 200 * time.Millisecond
	// linesPerSecond bounds the processor time that lines about requests take: 2 µs each
	// (BenchmarkLine), and about as much again to write them out in blocks.
	linesPerSecond = 400
	// longestValue bounds a text in a line, in bytes.
	longestValue = 200
	// closeWait bounds the wait for a reader of the output that does not read.
	closeWait = time.Second
)

var (
	written = metrics.GetOrRegisterCounter("decision.lines", metrics.DefaultRegistry)
	leftOut = metrics.GetOrRegisterCounter("decision.lines.left_out", metrics.DefaultRegistry)
)

// Names of the fields of every line.
const (
	timeField  = "time" // UTC, to the millisecond
	levelField = "level"
	partField  = "part" // of the program
	whatField  = "what" // it decided or met
)

func init() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
	zerolog.TimestampFieldName = timeField
	zerolog.MessageFieldName = whatField
}

// Log writes lines. A nil Log writes nothing.
type Log struct {
	out    zerolog.Logger // to the queue
	queue  chan []byte
	blocks *blockWriter
	stop   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	second  int64
	count   int
	dropped int64
}

// New returns a log that writes to w until Close.
func New(w io.Writer) *Log {
	l := &Log{
		queue:  make(chan []byte, queuedLines),
		blocks: newBlockWriter(w),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	l.out = zerolog.New(queueWriter{l})
	go l.run()
	return l
}

// Close writes out what there is. Lines that come later are lost.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeWait):
	}
}

func (l *Log) run() {
	defer close(l.done)
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.flush()
		case <-l.stop:
			l.flush()
			return
		}
	}
}

// flush writes out the queue, then how many lines found no place in it or in the rate.
func (l *Log) flush() {
	for range len(l.queue) {
		l.blocks.add(<-l.queue)
	}
	l.mu.Lock()
	n := l.dropped
	l.dropped = 0
	l.mu.Unlock()
	if n > 0 {
		out := zerolog.New(l.blocks)
		lineTo(&out, "warning", "decision").Int("lines", n).end("left out")
	}
	l.blocks.flush()
}

// queueWriter queues lines for flush.
type queueWriter struct{ log *Log }

// Write implements io.Writer for one whole line, which it copies.
func (w queueWriter) Write(line []byte) (int, error) {
	select {
	case w.log.queue <- bytes.Clone(line):
	default:
		w.log.mu.Lock()
		w.log.drop()
		w.log.mu.Unlock()
	}
	return len(line), nil
}

// drop counts a line that is left out; the lock is held.
func (l *Log) drop() {
	l.dropped++
	leftOut.Inc(1)
}

func (l *Log) line(level, part string) Line { return lineTo(&l.out, level, part) }

func lineTo(out *zerolog.Logger, level, part string) Line {
	return Line{out.Log().Timestamp().Str(levelField, level).Str(partField, part)}
}

// Line begins a line: the part of the program, and what it decided. Where the line is
// left out, its methods do nothing.
func (l *Log) Line(part, what string) Line {
	if l == nil || !l.allow() {
		return Line{}
	}
	written.Inc(1)
	line := l.line("info", part)
	line.e.Str(whatField, what)
	return line
}

func (l *Log) allow() bool {
	now := time.Now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now != l.second {
		l.second, l.count = now, 0
	}
	if l.count >= linesPerSecond {
		l.drop()
		return false
	}
	l.count++
	return true
}

// Line is one line being put together.
type Line struct{ e *zerolog.Event }

// Str adds a text.
func (l Line) Str(k, v string) Line {
	if len(v) > longestValue {
		v = v[:longestValue]
	}
	l.e.Str(k, v)
	return l
}

// Int adds a number.
func (l Line) Int(k string, v int64) Line {
	l.e.Int64(k, v)
	return l
}

// Bool adds a yes or no.
func (l Line) Bool(k string, v bool) Line {
	l.e.Bool(k, v)
	return l
}

// Ms adds a duration in milliseconds, to a tenth.
func (l Line) Ms(k string, d time.Duration) Line {
	if l.e != nil {
		var b [24]byte
		l.e.RawJSON(k, strconv.AppendFloat(b[:0], float64(d)/float64(time.Millisecond), 'f', 1, 64))
	}
	return l
}

// Err adds an error, if there is one.
func (l Line) Err(err error) Line {
	if l.e == nil || err == nil {
		return l
	}
	return l.Str("error", err.Error())
}

// End hands the line over.
func (l Line) End() { l.e.Send() }

func (l Line) end(what string) { l.e.Msg(what) }
