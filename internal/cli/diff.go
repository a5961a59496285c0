package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/settings"
)

// diffResult is the output of the diff command.
type diffResult struct {
	From    uint64            `json:"from"`
	To      uint64            `json:"to"`
	Edits   []settings.Edit   `json:"edits"`
	Effects []settings.Effect `json:"effects"`
}

func (a *app) declareDiff(k *kingpin.Application) {
	var from, to uint64
	c := k.Command("diff", `Show what differs between two versions of the tree.

Example: pearmoor diff 118

Example: pearmoor diff 118 121`)
	c.Arg("from", "Older version.").Required().Uint64Var(&from)
	c.Arg("to", "Newer version; left out: the newest.").Uint64Var(&to)
	c.Action(func(*kingpin.ParseContext) error {
		old, _, err := a.readTree(from)
		if err != nil {
			return err
		}
		next, at, err := a.readTree(to)
		if err != nil {
			return err
		}
		return a.print(&diffResult{From: from, To: at, Edits: settings.RedactEdits(settings.Diff(old, next)), Effects: settings.Plan(old, next)})
	})
}

func (d *diffResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "from version %d to version %d\n", d.From, d.To)
	writeEdits(w, d.Edits)
	writeEffects(w, d.Effects, len(d.Effects))
}
