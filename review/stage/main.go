//go:build reviewstage

// Command review-stage plays the platform, the leaves, an operator and the clients of a small
// deployment for the cases of this review, and starts pearmoor-entry as the deploy file says.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTime is the longest time that a case may take.
const caseTime = 110 * time.Second

// cases maps the name of each case to what plays it and reports whether the rule was broken.
var cases = map[string]func(s *stage) (broken bool, err error){
	"long-body":  playLongBody,
	"late-drain": playLateDrain,
	"first-ack":  playFirstAck,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stage CASE FOLDER, in the repository's root")
		return exitNotRun
	}
	trouble := true
	if v, err := strconv.Atoi(os.Getenv("TROUBLE")); err == nil {
		trouble = v != 0
	}
	s, err := newStage(filepath.Join(args[1], "record.txt"), trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-stage:", err)
		return exitNotRun
	}
	defer s.close()
	time.AfterFunc(caseTime, func() {
		s.note("not finished in time")
		s.close()
		os.Exit(exitNotRun)
	})
	broken, err := cases[args[0]](s)
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		s.note("verdict: the rule was broken")
		return exitBroken
	}
	s.note("verdict: the rule held")
	return exitHeld
}
