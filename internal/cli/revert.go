package cli

import (
	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/settings"
)

func (a *app) declareRevert(k *kingpin.Application) {
	var version uint64
	var wholeTree bool
	var flags changeFlags
	c := k.Command("revert", `Undo a change by a new one. The version goes up; nothing is forgotten.

Example: pearmoor revert 121 --reason="made the tail worse"

Example: pearmoor revert 118 --whole-tree --reason="back to last week"`)
	c.Arg("version", "The change to undo; with --whole-tree, the version whose tree is wanted.").Required().Uint64Var(&version)
	c.Flag("whole-tree", "Make the whole tree as it was at the version.").BoolVar(&wholeTree)
	flags.declare(c)
	c.Action(func(*kingpin.ParseContext) error {
		if flags.base.isSet {
			return a.revert(&flags, version, wholeTree, flags.base.value)
		}
		return a.revert(&flags, version, wholeTree, 0)
	})
}

// revert undoes the change that made version, or with wholeTree restores the tree of
// version. base is the version that the new change is made for; 0 is the newest.
func (a *app) revert(f *changeFlags, version uint64, wholeTree bool, base uint64) error {
	current, at, err := a.readTree(base)
	if err != nil {
		return err
	}
	earlier, _, err := a.readTree(version)
	if err != nil {
		return err
	}
	if wholeTree {
		return a.submitChange(f, current, at, settings.Diff(current, earlier))
	}
	record, err := a.readAuditRecord(version)
	if err != nil {
		return err
	}
	if record == nil {
		return exitErrorf(ExitFailed, "change %d is older than the kept audit trail", version)
	}
	if e, ok := findOverlap(record.Edits, settings.Diff(earlier, current)); ok {
		return exitErrorf(ExitConflict, "%s has been changed again since version %d; 'pearmoor history %s' shows by whom, 'pearmoor set' states the value wanted",
			formatEditPath(e), version, e.Path)
	}
	inverse, err := a.inverseWithSecrets(record, earlier)
	if err != nil {
		return err
	}
	return a.submitChange(f, current, at, inverse)
}

// inverseWithSecrets returns the edits that undo a change, given the tree after it. The audit
// trail has no secrets; where they are needed, the edits are computed from the trees.
func (a *app) inverseWithSecrets(record *changeRecord, after *settings.Tree) ([]settings.Edit, error) {
	if !settings.IsRedacted(record.Inverse) {
		return record.Inverse, nil
	}
	if record.Version == 1 { // readTree(0) returns the newest tree
		return settings.Diff(after, settings.New()), nil
	}
	before, _, err := a.readTree(record.Version - 1)
	if err != nil {
		return nil, err
	}
	return settings.Diff(after, before), nil
}

// findOverlap returns an edit of later that affects the same setting or node as one
// of edits. Undoing edits would undo that later edit too.
func findOverlap(edits, later []settings.Edit) (settings.Edit, bool) {
	for _, l := range later {
		for _, e := range edits {
			if e.Path == l.Path && e.Name == l.Name || e.Op == settings.Remove && isAtOrBelow(l.Path, e.Path) ||
				l.Op == settings.Remove && isAtOrBelow(e.Path, l.Path) {
				return l, true
			}
		}
	}
	return settings.Edit{}, false
}

func formatEditPath(e settings.Edit) string {
	if e.Name == "" {
		return e.Path
	}
	return e.Path + " " + e.Name
}
