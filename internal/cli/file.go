package cli

import (
	"io"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"pearmoor/internal/settings"
)

func (a *app) declareFile(k *kingpin.Application) {
	var version uint64
	c := k.Command("export", `Write the tree as YAML, to keep in version control. It records its version as the base for 'apply'.
The quarantine and the evacuations are left out; 'apply' leaves them as they are.
API keys are in the file: keep it as secret as they are. On a terminal fingerprints
are shown in their place, and what is shown can't be applied.

Example: pearmoor export > tree.yaml`)
	c.Flag("at", "Version of the tree; 0 is the newest.").Uint64Var(&version)
	c.Action(func(*kingpin.ParseContext) error {
		tree, at, err := a.readTree(version)
		if err != nil {
			return err
		}
		var edits []settings.Edit
		for _, path := range settings.OperationalPaths() {
			edits = append(edits, settings.Edit{Path: path, Op: settings.Remove})
		}
		tree = tree.Replay(at, edits)
		text := tree.ExportFileWithBase(at)
		if isTerminal(a.out) {
			text = tree.ExportRedacted(at)
		}
		_, err = a.out.Write(text)
		return errors.Wrap(err, "write the tree")
	})

	var file string
	var flags changeFlags
	c = k.Command("apply", `Make the tree as a file says. Applying a file twice changes nothing the second time.

A file that 'export' wrote names the version it was made from. If the tree has
changed since, the file would undo that unseen and is refused: export again and
merge, or give --base with the newest version to say that you have looked.

Example: pearmoor apply tree.yaml --reason="release 42"

Example: pearmoor apply tree.yaml --dry-run --reason=-`)
	c.Arg("file", "The file; - is the standard input.").Required().StringVar(&file)
	flags.declare(c)
	c.Action(func(*kingpin.ParseContext) error { return a.applyFile(file, &flags) })
}

func (a *app) applyFile(file string, f *changeFlags) error {
	wanted, text, err := a.readTreeFile(file)
	if err != nil {
		return err
	}
	if !f.base.isSet {
		f.base.value, f.base.isSet, err = settings.FileBaseVersion(text)
		if err != nil {
			return err
		}
	}
	if f.changeID != "" && f.base.isSet {
		return a.applyFileAt(f, wanted, f.base.value)
	}
	current, version, err := a.readTree(0)
	if err != nil {
		return err
	}
	edits := withoutOperationalState(settings.Diff(current, wanted))
	if f.base.isSet && f.base.value != version && len(edits) > 0 {
		return a.staleBaseError(f.base.value, version)
	}
	return a.submitChange(f, current, version, edits)
}

// applyFileAt repeats an apply whose reply was lost. The edits must equal those of
// the first attempt, so they are computed from the base and not from the newest tree.
func (a *app) applyFileAt(f *changeFlags, wanted *settings.Tree, base uint64) error {
	old, version, err := a.readTree(base)
	if err != nil {
		return err
	}
	return a.submitChange(f, old, version, withoutOperationalState(settings.Diff(old, wanted)))
}

// staleBaseError returns the error for a file that was exported before the newest
// change; it names the first change after the file's base.
func (a *app) staleBaseError(base, newest uint64) error {
	record, err := a.readAuditRecord(base + 1)
	if err != nil {
		return err
	}
	var conflict conflictingChange
	if record != nil {
		conflict = conflictingChange{Version: record.Version, Operator: record.Operator, Reason: record.Reason}
	}
	return exitErrorf(ExitConflict, "not applied: the file is based on version %d, the newest is %d; %s; see 'pearmoor diff %d', then export again and merge, or give --base=%d",
		base, newest, conflictMessage(conflict), base, newest)
}

// readTreeFile reads a tree from a file, and returns the tree and the file's text.
func (a *app) readTreeFile(name string) (*settings.Tree, []byte, error) {
	text, err := a.readFileOrStdin(name)
	if err != nil {
		return nil, nil, err
	}
	tree, err := settings.ParseFile(text)
	return tree, text, err
}

func (a *app) readFileOrStdin(name string) ([]byte, error) {
	if name == "-" || name == "" { // the parser returns an argument - as an empty one
		text, err := io.ReadAll(io.LimitReader(a.in, settings.MaxFileSize+1))
		return text, errors.Wrap(err, "read the standard input")
	}
	text, err := os.ReadFile(name)
	return text, errors.Wrap(err, "read the file")
}

// withoutOperationalState drops the edits to the quarantine and the evacuations. Exported
// files leave them out, so applying one would otherwise let requests that crash leaves run
// again, and end evacuations.
func withoutOperationalState(edits []settings.Edit) []settings.Edit {
	return slices.DeleteFunc(edits, func(e settings.Edit) bool { return settings.IsOperationalPath(e.Path) })
}

// isTerminal reports whether w shows what is written instead of storing it.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
