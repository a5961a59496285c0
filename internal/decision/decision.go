// Package decision writes the log of a process as JSON objects, one per line. It contains
// one line for each decision on a request, and the lines of klog, in the order in which
// they were logged. Logging never blocks: a line that exceeds the rate limit, or for which
// the queue is full because the output is read too slowly, is dropped, and a later line
// reports the number of dropped lines.
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
	// queueCapacity is the maximum number of lines that wait to be written.
	queueCapacity = 512
	flushInterval = 200 * time.Millisecond
	// maxLinesPerSecond limits the processor time spent on lines about requests: 2 µs
	// for each (BenchmarkLine), and about as much again to write it.
	maxLinesPerSecond = 400
	// maxValueBytes limits the length of a text value, in bytes.
	maxValueBytes = 200
	// closeTimeout bounds the wait in Close when writes to the output block.
	closeTimeout = time.Second
)

var (
	linesWritten = metrics.GetOrRegisterCounter("decision.lines", metrics.DefaultRegistry)
	linesDropped = metrics.GetOrRegisterCounter("decision.lines.left_out", metrics.DefaultRegistry)
)

// Names of the fields that every line has.
const (
	timeField      = "time" // UTC, in milliseconds
	levelField     = "level"
	componentField = "part" // component of the program
	eventField     = "what" // event: the decision or condition
)

func init() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
	zerolog.TimestampFieldName = timeField
	zerolog.MessageFieldName = eventField
}

// Log queues lines and writes them in the background. A nil Log discards them.
type Log struct {
	out    zerolog.Logger // writes to queue
	queue  chan []byte
	blocks *blockWriter
	stop   chan struct{}
	done   chan struct{}

	mu            sync.Mutex
	currentSecond int64
	lineCount     int
	dropped       int64
}

// New returns a Log that writes to w until Close.
func New(w io.Writer) *Log {
	l := &Log{
		queue:  make(chan []byte, queueCapacity),
		blocks: newBlockWriter(w),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	l.out = zerolog.New(queueWriter{l})
	go l.run()
	return l
}

// Close writes the queued lines, waiting for at most closeTimeout. Lines logged after
// Close are lost.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

func (l *Log) run() {
	defer close(l.done)
	ticker := time.NewTicker(flushInterval)
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

// flush writes the queued lines, and a line with the number of lines dropped since the
// last flush, if any.
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
		newLineTo(&out, "warning", "decision").Int("lines", n).endWith("left out")
	}
	l.blocks.flush()
}

// queueWriter queues lines for flush.
type queueWriter struct{ log *Log }

// Write implements io.Writer. Each call has one whole line, which is copied.
func (w queueWriter) Write(line []byte) (int, error) {
	select {
	case w.log.queue <- bytes.Clone(line):
	default:
		w.log.mu.Lock()
		w.log.countDropped()
		w.log.mu.Unlock()
	}
	return len(line), nil
}

// countDropped counts a dropped line. The caller must hold l.mu.
func (l *Log) countDropped() {
	l.dropped++
	linesDropped.Inc(1)
}

func (l *Log) newLine(level, component string) Line { return newLineTo(&l.out, level, component) }

func newLineTo(out *zerolog.Logger, level, component string) Line {
	return Line{out.Log().Timestamp().Str(levelField, level).Str(componentField, component)}
}

// Line starts a line with the component of the program and the event. If the line exceeds
// the rate limit, the methods of the returned Line do nothing.
func (l *Log) Line(component, event string) Line {
	if l == nil || !l.allow() {
		return Line{}
	}
	linesWritten.Inc(1)
	line := l.newLine("info", component)
	line.e.Str(eventField, event)
	return line
}

// allow reports whether another line is within maxLinesPerSecond, and counts it.
func (l *Log) allow() bool {
	now := time.Now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now != l.currentSecond {
		l.currentSecond, l.lineCount = now, 0
	}
	if l.lineCount >= maxLinesPerSecond {
		l.countDropped()
		return false
	}
	l.lineCount++
	return true
}

// Line is a log line under construction.
type Line struct{ e *zerolog.Event }

// Str adds a text field, truncated to maxValueBytes.
func (l Line) Str(k, v string) Line {
	if len(v) > maxValueBytes {
		v = v[:maxValueBytes]
	}
	l.e.Str(k, v)
	return l
}

// Int adds an integer field.
func (l Line) Int(k string, v int64) Line {
	l.e.Int64(k, v)
	return l
}

// Bool adds a boolean field.
func (l Line) Bool(k string, v bool) Line {
	l.e.Bool(k, v)
	return l
}

// Ms adds a duration in milliseconds with one decimal place.
func (l Line) Ms(k string, d time.Duration) Line {
	if l.e != nil {
		var b [24]byte
		l.e.RawJSON(k, strconv.AppendFloat(b[:0], float64(d)/float64(time.Millisecond), 'f', 1, 64))
	}
	return l
}

// Err adds the field "error" unless err is nil.
func (l Line) Err(err error) Line {
	if l.e == nil || err == nil {
		return l
	}
	return l.Str("error", err.Error())
}

// End queues the line.
func (l Line) End() { l.e.Send() }

func (l Line) endWith(event string) { l.e.Msg(event) }
