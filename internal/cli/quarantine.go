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
type quarantined struct {
	Fingerprint string    `json:"fingerprint"`
	Blocked     bool      `json:"blocked"`
	LeafEnds    int       `json:"leaf_ends"`
	Crashes     int       `json:"crashes"`
	Attempts    int       `json:"attempts"`
	Seen        time.Time `json:"seen"`
	Request     string    `json:"request"`
}

// quarantineList is the output of the quarantine command.
type quarantineList struct {
	Version  uint64        `json:"version"`
	Requests []quarantined `json:"requests"`
}

// declareQuarantine declares quarantine and lift.
func (a *app) declareQuarantine(k *kingpin.Application) {
	c := k.Command("quarantine", `List the requests that crash the leaves that run them, the last seen first. Blocked ones
reach no leaf; suspected ones are tried at one leaf at a time.

Example: pearmoor quarantine

Example: pearmoor explain /quarantine/3f2a…`)
	c.Action(func(*kingpin.ParseContext) error { return a.quarantine() })

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
				return failWith(ExitInvalid, "%v", err)
			}
			edits = append(edits, settings.Edit{Path: settings.QuarantinePath + settings.Root + name, Op: settings.Remove})
		}
		return a.edit(&flags, edits)
	})
}

func (a *app) quarantine() error {
	tree, version, err := a.readTree(0)
	if err != nil {
		return err
	}
	cases := quarantine.CasesFromTree(tree)
	out := &quarantineList{Version: version, Requests: []quarantined{}}
	for f, c := range cases {
		out.Requests = append(out.Requests, quarantined{
			Fingerprint: f.String(), Blocked: c.Blocked, LeafEnds: c.LeafExits, Crashes: c.CrashedAttempts, Attempts: c.UnansweredAttempts, Seen: c.LastReport, Request: c.Description,
		})
	}
	slices.SortFunc(out.Requests, func(x, y quarantined) int {
		return cmp.Or(y.Seen.Compare(x.Seen), cmp.Compare(x.Fingerprint, y.Fingerprint))
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
		rows[i] = []string{r.Fingerprint, state, strconv.Itoa(r.LeafEnds), strconv.Itoa(r.Crashes), strconv.Itoa(r.Attempts), r.Seen.Format(time.RFC3339), r.Request}
	}
	table(w, "FINGERPRINT\tSTATE\tLEAF ENDS\tCRASHES\tATTEMPTS\tSEEN\tREQUEST", rows)
}

// withoutQuarantine drops the edits to the quarantine. Exported files leave the
// quarantine out, so applying one would otherwise lift it and let requests that
// crash leaves run again.
func outside(edits []settings.Edit) []settings.Edit {
	return slices.DeleteFunc(edits, func(e settings.Edit) bool { return settings.Below(e.Path, settings.QuarantinePath) })
}
