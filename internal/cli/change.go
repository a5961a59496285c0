package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
)

// changeFlags are the flags of every command that changes the tree.
type changeFlags struct {
	reason   string
	base     optionalUint
	changeID string
	dryRun   bool
	plan     bool // the same as dryRun, where it is declared
	wait     time.Duration
	lines    []string // describe the change, in place of its effects on query services
}

func (f *changeFlags) declare(c *kingpin.CmdClause) {
	c.Flag("reason", "Why; it goes into the audit trail.").Short('m').Required().StringVar(&f.reason)
	c.Flag("base", "Version of the tree that the change was made for; another one accepted since refuses it. Left out: the newest.").SetValue(&f.base)
	c.Flag("change-id", "Identifies the change when it is sent again after a lost reply.").StringVar(&f.changeID)
	c.Flag("dry-run", "Show what would change and change nothing.").BoolVar(&f.dryRun)
	c.Flag("wait", "How long to wait for the change to be in force everywhere; 0s does not wait.").
		Default(defaultWait.String()).DurationVar(&f.wait)
}

// conflictingChange is the accepted change that conflicts with a refused one.
type conflictingChange struct {
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// changeResult is the output of a command that changes the tree.
type changeResult struct {
	Version     uint64            `json:"version"`
	Accepted    bool              `json:"accepted"`
	Resend      bool              `json:"resend,omitempty"` // the change id had been accepted earlier; Version is from then
	DryRun      bool              `json:"dry_run,omitempty"`
	ChangeID    string            `json:"change_id,omitempty"`
	Edits       []settings.Edit   `json:"edits"` // with fingerprints in place of secrets
	Effects     []settings.Effect `json:"effects"`
	Lines       []string          `json:"changes,omitempty"` // what the change means, where the command says so
	InForce     bool              `json:"in_force"`
	InForceMS   int64             `json:"in_force_ms,omitempty"` // measured from sending the change
	Unconfirmed []string          `json:"unconfirmed,omitempty"` // VMs that have not confirmed it yet

	waited bool
}

// submitChange sends edits to the control group, waits until they are in force, and
// prints their effects. old is the tree at version base.
func (a *app) submitChange(f *changeFlags, old *settings.Tree, base uint64, edits []settings.Edit) error {
	out := &changeResult{DryRun: f.dryRun, Version: base, Edits: []settings.Edit{}, Effects: []settings.Effect{}}
	next, err := old.Apply(base+1, edits)
	if err != nil {
		return err
	}
	if len(settings.Diff(old, next)) == 0 {
		return a.print(out)
	}
	out.Edits, out.Effects, out.Lines = settings.RedactEdits(edits), settings.Plan(old, next), f.lines
	out.ChangeID = f.changeID
	if out.ChangeID == "" {
		out.ChangeID = rand.Text()
	}
	start := time.Now()
	reply, err := a.sendChange(f, base, edits, out.ChangeID)
	if err != nil {
		return err
	}
	if f.dryRun {
		return a.print(out)
	}
	out.Accepted, out.Version, out.Resend = true, reply.GetVersion(), reply.GetResend()
	if f.wait <= 0 {
		return a.print(out)
	}
	if a.output == outputText {
		fmt.Fprintf(a.out, "accepted as version %d\n", out.Version)
	}
	err = a.awaitInForce(out, f.wait, start)
	if printErr := a.print(out); printErr != nil {
		return printErr
	}
	return err
}

// sendChange sends the change until a control VM accepts or refuses it. Every
// attempt has the same change id, so a retry after a lost reply can't apply the
// change twice.
func (a *app) sendChange(f *changeFlags, base uint64, edits []settings.Edit, changeID string) (*wire.ChangeReply, error) {
	c, err := a.connect()
	if err != nil {
		return nil, err
	}
	req := &wire.ChangeRequest{
		ChangeId:    changeID,
		BaseVersion: base,
		Edits:       settings.EditsToWire(edits),
		Reason:      f.reason,
		DryRun:      f.dryRun,
		Operator:    a.operator,
	}
	reply, sent, err := call(a.ctx, c, 0, func(ctx context.Context, cc wire.DRPCControlClient) (*wire.ChangeReply, error) {
		return cc.Change(ctx, req)
	})
	recoveryHint := fmt.Sprintf("repeat the command with --base=%d --change-id=%s to learn it without changing anything twice", base, changeID)
	if err := changeCallError(err, sent && !f.dryRun, recoveryHint); err != nil {
		return nil, err
	}
	return reply, changeReplyError(reply)
}

// changeReplyError returns the error for a change that was not accepted, or nil.
func changeReplyError(reply *wire.ChangeReply) error {
	switch reply.GetOutcome() {
	case wire.Outcome_ACCEPTED:
		return nil
	case wire.Outcome_CONFLICT:
		c := reply.GetConflict()
		return exitErrorf(ExitConflict, "not accepted: %s",
			conflictMessage(conflictingChange{Version: c.GetVersion(), Operator: c.GetOperator(), Reason: c.GetReason()}))
	}
	return &exitError{code: ExitInvalid, cause: settings.FaultsFromWire(reply.GetFaults())}
}

func (c *changeResult) writeText(w io.Writer) {
	switch {
	case len(c.Edits) == 0:
		fmt.Fprintf(w, "nothing to change: the tree at version %d is as asked\n", c.Version)
		return
	case c.DryRun:
		fmt.Fprintf(w, "nothing changed; at version %d this would do:\n", c.Version)
	case !c.waited:
		fmt.Fprintf(w, "accepted as version %d\n", c.Version)
	}
	if c.Resend {
		fmt.Fprintln(w, "it had been accepted before; this is its first outcome")
	}
	limit := maxShownEffects
	if c.DryRun {
		limit = len(c.Effects)
	}
	for _, line := range c.Lines {
		fmt.Fprintln(w, line)
	}
	if len(c.Effects) > 0 || len(c.Lines) == 0 {
		writeEffects(w, c.Effects, limit)
	}
	c.writeInForce(w)
}

func (c *changeResult) writeInForce(w io.Writer) {
	switch {
	case !c.waited:
	case c.InForce:
		fmt.Fprintf(w, "in force everywhere after %d ms\n", c.InForceMS)
	case len(c.Unconfirmed) > 0:
		fmt.Fprintf(w, "accepted, and not yet in force on %s:\n", plural(len(c.Unconfirmed), "VM"))
		for _, name := range c.Unconfirmed {
			fmt.Fprintf(w, "  %s\n", name)
		}
	default:
		fmt.Fprintln(w, "accepted; whether it is in force everywhere is not known")
	}
}

// maxShownEffects and maxShownValueLength limit what is printed as text. 'plan',
// 'diff' and dry runs show every effect.
const (
	maxShownEffects     = 20
	maxShownValueLength = 60 // characters
)

// writeEffects writes a table of at most limit effects.
func writeEffects(w io.Writer, effects []settings.Effect, limit int) {
	var rows [][]string
	for _, e := range effects[:min(len(effects), limit)] {
		rows = append(rows, []string{e.Service, e.Name, formatValue(e.Before), formatValue(e.After)})
	}
	if len(rows) == 0 {
		fmt.Fprintln(w, "no query service is affected")
		return
	}
	writeTable(w, "QUERY SERVICE|SETTING|BEFORE|AFTER", rows)
	if more := len(effects) - len(rows); more > 0 {
		fmt.Fprintf(w, "and %d more; 'pearmoor diff' shows all\n", more)
	}
}

func formatValue(s string) string {
	if s == "" {
		return "-"
	}
	return truncate(s, maxShownValueLength)
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
