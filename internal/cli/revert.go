package cli

import (
	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/settings"
)

func (a *app) declareRevert(k *kingpin.Application) {
	var version uint64
	var whole bool
	var flags changeFlags
	c := k.Command("revert", `Undo a change by a new one. The version goes up; nothing is forgotten.

Example: pearmoor revert 121 --reason="made the tail worse"

Example: pearmoor revert 118 --whole-tree --reason="back to last week"`)
	c.Arg("version", "The change to undo; with --whole-tree, the version whose tree is wanted.").Required().Uint64Var(&version)
	c.Flag("whole-tree", "Make the whole tree as it was at the version.").BoolVar(&whole)
	flags.declare(c)
	c.Action(func(*kingpin.ParseContext) error {
		if flags.base.given {
			return a.revertAt(&flags, version, whole, flags.base.value)
		}
		return a.revertAt(&flags, version, whole, 0)
	})
}

// revert undoes the change that made version, or with wholeTree restores the tree of
// version. base is the version that the new change is made for; 0 is the newest.
func (a *app) revertAt(f *changeFlags, version uint64, whole bool, base uint64) error {
	now, at, err := a.readTree(base)
	if err != nil {
		return err
	}
	then, _, err := a.readTree(version)
	if err != nil {
		return err
	}
	if whole {
		return a.change(f, now, at, settings.Diff(now, then))
	}
	rec, err := a.auditRecord(version)
	if err != nil {
		return err
	}
	if rec == nil {
		return failWith(ExitFailed, "change %d is older than the kept audit trail", version)
	}
	if e, ok := overlap(rec.Edits, settings.Diff(then, now)); ok {
		return failWith(ExitConflict, "%s has been changed again since version %d; 'pearmoor history %s' shows by whom, 'pearmoor set' states the value wanted",
			showSetting(e), version, e.Path)
	}
	return a.change(f, now, at, rec.Before)
}

// findOverlap returns an edit of later that affects the same setting or node as one
// of edits. Undoing edits would undo that later edit too.
func overlap(edits, later []settings.Edit) (settings.Edit, bool) {
	for _, l := range later {
		for _, e := range edits {
			if e.Path == l.Path && e.Name == l.Name || e.Op == settings.Remove && within(l.Path, e.Path) ||
				l.Op == settings.Remove && within(e.Path, l.Path) {
				return l, true
			}
		}
	}
	return settings.Edit{}, false
}

func showSetting(e settings.Edit) string {
	if e.Name == "" {
		return e.Path
	}
	return e.Path + " " + e.Name
}
