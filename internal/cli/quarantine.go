package cli

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/quarantine"
	"pearmoor/internal/settings"
)

// quarantineEntry is one request in quarantine.
type quarantineEntry struct {
	Fingerprint        string    `json:"fingerprint"`
	Blocked            bool      `json:"blocked"`
	LeafExits          int       `json:"leaf_ends"`
	CrashedAttempts    int       `json:"crashes"`
	UnansweredAttempts int       `json:"attempts"`
	LastReport         time.Time `json:"seen"`
	Description        string    `json:"request"`
}

// quarantineList is the output of the quarantine command.
type quarantineList struct {
	Version  uint64            `json:"version"`
	Requests []quarantineEntry `json:"requests"`
}

// declareQuarantine declares quarantine and lift.
func (a *app) declareQuarantine(k *kingpin.Application) {
	c := k.Command("quarantine", `List the requests that crash the leaves that run them, the last seen first. Blocked ones
reach no leaf; suspected ones are tried at one leaf at a time.

Example: pearmoor quarantine

Example: pearmoor explain /quarantine/3f2a…`)
	c.Action(func(*kingpin.ParseContext) error { return a.listQuarantine() })

	var names []string
	var flags changeFlags
	c = k.Command("lift", `Let requests out of quarantine, once what they crash is mended.

Example: pearmoor lift 3f2a… --reason="leaves of release 12 survive it"`)
	c.Arg("fingerprint", "As 'pearmoor quarantine' shows it.").Required().StringsVar(&names)
	flags.declare(c)
	c.Action(func(*kingpin.ParseContext) error {
		var edits []settings.Edit
		for _, name := range names {
			if _, err := quarantine.ParseFingerprint(name); err != nil {
				return exitErrorf(ExitInvalid, "%v", err)
			}
			edits = append(edits, settings.Edit{Path: settings.QuarantinePath + settings.Root + name, Op: settings.Remove})
		}
		return a.submitEdits(&flags, edits)
	})
}

func (a *app) listQuarantine() error {
	tree, version, err := a.readTree(0)
	if err != nil {
		return err
	}
	cases := quarantine.CasesFromTree(tree)
	out := &quarantineList{Version: version, Requests: []quarantineEntry{}}
	for f, c := range cases {
		out.Requests = append(out.Requests, quarantineEntry{
			Fingerprint: f.String(), Blocked: c.Blocked, LeafExits: c.LeafExits, CrashedAttempts: c.CrashedAttempts, UnansweredAttempts: c.UnansweredAttempts, LastReport: c.LastReport, Description: c.Description,
		})
	}
	slices.SortFunc(out.Requests, func(x, y quarantineEntry) int {
		return cmp.Or(y.LastReport.Compare(x.LastReport), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	return a.print(out)
}

func (l *quarantineList) writeText(w io.Writer) {
	if len(l.Requests) == 0 {
		_, _ = io.WriteString(w, "no request is in quarantine\n")
		return
	}
	rows := make([][]string, len(l.Requests))
	for i, r := range l.Requests {
		state := "suspected"
		if r.Blocked {
			state = "blocked"
		}
		rows[i] = []string{r.Fingerprint, state, strconv.Itoa(r.LeafExits), strconv.Itoa(r.CrashedAttempts), strconv.Itoa(r.UnansweredAttempts), r.LastReport.Format(time.RFC3339), r.Description}
	}
	writeTable(w, "FINGERPRINT\tSTATE\tLEAF ENDS\tCRASHES\tATTEMPTS\tSEEN\tREQUEST", rows)
}
