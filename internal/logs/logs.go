// Package logs extracts the lines about one request from the collected logs of a tier.
package logs

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// contextWindow is the time before the first and after the last line of a request for
	// which lines without a request id are included. They show the daemon's state. A
	// change that the daemon learned of only after its decision is logged shortly after the
	// decision.
	contextWindow = time.Second
	// maxLineBytes limits the length of a line, in bytes.
	maxLineBytes = 1 << 20
)

// Line is a line of a log.
type Line struct {
	Time      time.Time `json:"time"`
	File      string    `json:"file"`
	Text      string    `json:"text"` // the JSON object, unchanged
	ofRequest bool      // has the id of the request
}

// Problem is a file that can't be read or a line that can't be parsed.
type Problem struct {
	File string `json:"file"`
	Line int    `json:"line,omitempty"` // 0: the whole file
	Why  string `json:"why"`
}

// Trace holds the lines about a request, and the problems met in reading the logs.
type Trace struct {
	Lines    []Line    `json:"lines"`
	Problems []Problem `json:"troubles,omitempty"`
}

// logRecord holds the fields of a line that are used here.
type logRecord struct {
	Time time.Time `json:"time"`
	ID   string    `json:"id"`
}

// ReadTrace reads the log files and returns, ordered by time, the lines with the request id
// and the lines without any id that are near them in the same file.
func ReadTrace(id string, files []string) *Trace {
	out := &Trace{}
	for _, file := range files {
		lines, problems := readFile(id, file)
		out.Problems = append(out.Problems, problems...)
		out.Lines = append(out.Lines, trimToWindow(lines)...)
	}
	slices.SortStableFunc(out.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// readFile returns the lines of a file that have the given id or no id.
func readFile(id, file string) ([]Line, []Problem) {
	f, err := os.Open(file)
	if err != nil {
		return nil, []Problem{{File: file, Why: err.Error()}}
	}
	defer f.Close()
	return scanLines(id, filepath.Base(file), f)
}

func scanLines(id, file string, from io.Reader) (lines []Line, problems []Problem) {
	in := bufio.NewScanner(from)
	in.Buffer(nil, maxLineBytes)
	n := 0
	for in.Scan() {
		n++
		if strings.TrimSpace(in.Text()) == "" {
			continue
		}
		r, text, err := parse(in.Text())
		switch {
		case err != nil:
			problems = append(problems, Problem{File: file, Line: n, Why: err.Error()})
		case r.ID == id:
			lines = append(lines, Line{Time: r.Time, File: file, Text: text, ofRequest: true})
		case r.ID == "":
			lines = append(lines, Line{Time: r.Time, File: file, Text: text})
		}
	}
	if err := in.Err(); err != nil {
		problems = append(problems, Problem{File: file, Line: n + 1, Why: err.Error()})
	}
	return lines, problems
}

var errNotLogRecord = errors.New("it holds no JSON object with a time")

// parse parses a line. It skips a prefix added by a log collector.
func parse(line string) (logRecord, string, error) {
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return logRecord{}, "", errNotLogRecord
	}
	var r logRecord
	if err := json.Unmarshal([]byte(line[start:]), &r); err != nil {
		return r, "", err
	}
	if r.Time.IsZero() {
		return r, "", errNotLogRecord
	}
	return r, line[start:], nil
}

// trimToWindow keeps the lines of the request, and the other lines from contextWindow
// before its first line to contextWindow after its last. It returns nil if the file has no
// line of the request.
func trimToWindow(lines []Line) []Line {
	var first, last time.Time
	for _, l := range lines {
		if l.ofRequest && (first.IsZero() || l.Time.Before(first)) {
			first = l.Time
		}
		if l.ofRequest && l.Time.After(last) {
			last = l.Time
		}
	}
	if first.IsZero() {
		return nil
	}
	return slices.DeleteFunc(lines, func(l Line) bool {
		return !l.ofRequest && (l.Time.Before(first.Add(-contextWindow)) || l.Time.After(last.Add(contextWindow)))
	})
}
