// Package logs finds what collected logs of a tier tell of one request.
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
	// around is how long before and after a request's lines a daemon's beliefs are told:
	// what it did not know yet when it decided stands a moment later.
	around = time.Second
	// longestLine bounds one line, in bytes.
	longestLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Time time.Time `json:"time"`
	File string    `json:"file"`
	Text string    `json:"text"` // as it was written
	own  bool      // of the request itself
}

// Trouble is a file that can't be read, or a line that is none.
type Trouble struct {
	File string `json:"file"`
	Line int    `json:"line,omitempty"` // 0: the whole file
	Why  string `json:"why"`
}

// Story is what was found of a request.
type Story struct {
	Lines    []Line    `json:"lines"`
	Troubles []Trouble `json:"troubles,omitempty"`
}

// record is what of a line is looked at.
type record struct {
	Time time.Time `json:"time"`
	ID   string    `json:"id"`
}

// Of reads the files and returns the lines about the request of that id, and what the
// daemons that decided on it believed meanwhile, in order of time.
func Of(id string, files []string) *Story {
	out := &Story{}
	for _, file := range files {
		lines, troubles := read(id, file)
		out.Troubles = append(out.Troubles, troubles...)
		out.Lines = append(out.Lines, withBeliefs(lines)...)
	}
	slices.SortStableFunc(out.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// read returns the lines of a file about the request, and those about no request.
func read(id, file string) ([]Line, []Trouble) {
	f, err := os.Open(file)
	if err != nil {
		return nil, []Trouble{{File: file, Why: err.Error()}}
	}
	defer f.Close()
	return scan(id, filepath.Base(file), f)
}

func scan(id, file string, from io.Reader) (lines []Line, troubles []Trouble) {
	in := bufio.NewScanner(from)
	in.Buffer(nil, longestLine)
	n := 0
	for in.Scan() {
		n++
		if strings.TrimSpace(in.Text()) == "" {
			continue
		}
		r, text, err := parse(in.Text())
		switch {
		case err != nil:
			troubles = append(troubles, Trouble{File: file, Line: n, Why: err.Error()})
		case r.ID == id:
			lines = append(lines, Line{Time: r.Time, File: file, Text: text, own: true})
		case r.ID == "":
			lines = append(lines, Line{Time: r.Time, File: file, Text: text})
		}
	}
	if err := in.Err(); err != nil {
		troubles = append(troubles, Trouble{File: file, Line: n + 1, Why: err.Error()})
	}
	return lines, troubles
}

var errNoRecord = errors.New("it holds no JSON object with a time")

// parse reads a line. What a collector has put before the object is passed over.
func parse(line string) (record, string, error) {
	at := strings.IndexByte(line, '{')
	if at < 0 {
		return record{}, "", errNoRecord
	}
	var r record
	if err := json.Unmarshal([]byte(line[at:]), &r); err != nil {
		return r, "", err
	}
	if r.Time.IsZero() {
		return r, "", errNoRecord
	}
	return r, line[at:], nil
}

// withBeliefs leaves of one file's lines those of the request and, of the others, those
// from shortly before its first to shortly after its last.
func withBeliefs(lines []Line) []Line {
	var first, last time.Time
	for _, l := range lines {
		if l.own && (first.IsZero() || l.Time.Before(first)) {
			first = l.Time
		}
		if l.own && l.Time.After(last) {
			last = l.Time
		}
	}
	if first.IsZero() {
		return nil
	}
	return slices.DeleteFunc(lines, func(l Line) bool {
		return !l.own && (l.Time.Before(first.Add(-around)) || l.Time.After(last.Add(around)))
	})
}
