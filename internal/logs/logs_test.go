package logs

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeLog(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// The logs of two daemons have lines of one request, one log is missing and one ends in a
// truncated line. The trace must have the request's lines of both in order of time and the
// lines around them, and report the missing file and the lines that can't be parsed.
func TestTraceMergesFilesInOrder(t *testing.T) {
	const day = `{"time":"2026-01-04T23:34:`
	one := writeLog(t, "vm-1.log", strings.Join([]string{
		day + `10.000Z","part":"entry","what":"too early"}`,
		day + `15.100Z","part":"discovery","what":"a leaf left"}`,
		`vm-1 ` + day + `15.500Z","part":"gather","what":"answered","id":"aa"}`,
		day + `15.600Z","part":"gather","what":"answered","id":"bb"}`,
		``,
		day + `15.9`,
	}, "\n"))
	two := writeLog(t, "vm-2.log", strings.Join([]string{
		day + `15.300Z","part":"gather","what":"send failed","id":"aa"}`,
		day + `16.200Z","part":"relay","what":"after"}`,
		`no object at all`,
	}, "\n"))
	other := writeLog(t, "vm-3.log", day+`15.400Z","part":"entry","what":"of a daemon that did not decide"}`)
	missing := filepath.Join(t.TempDir(), "vm-4.log")
	s := ReadTrace("aa", []string{one, two, other, missing})
	want := []string{"a leaf left", "send failed", "answered", "after"}
	if len(s.Lines) != len(want) {
		t.Fatalf("got %d lines: %+v", len(s.Lines), s.Lines)
	}
	for i, w := range want {
		if !strings.Contains(s.Lines[i].Text, w) || !strings.HasPrefix(s.Lines[i].Text, "{") {
			t.Errorf("line %d is %s %s, want %q", i, s.Lines[i].File, s.Lines[i].Text, w)
		}
	}
	if len(s.Problems) != 3 || s.Problems[0].Line != 6 || s.Problems[1].Line != 3 || s.Problems[2].File != missing {
		t.Errorf("got problems %+v", s.Problems)
	}
}
