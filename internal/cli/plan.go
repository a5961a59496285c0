package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/settings"
)

// planResult is the output of the plan command.
type planResult struct {
	Version uint64            `json:"version"`
	Edits   []settings.Edit   `json:"edits"`
	Effects []settings.Effect `json:"effects"`
}

func (a *app) declarePlan(k *kingpin.Application) {
	var path, file string
	var unset []string
	var remove bool
	c := k.Command("plan", `Show every query service whose values a change would alter, and change nothing.

Example: pearmoor plan /kathmandu-valley --hedge-budget=0.03

Example: pearmoor plan --file=examples/kathmandu-valley.yaml`)
	c.Arg("path", "The node.").HintAction(a.completePaths).StringVar(&path)
	c.Flag("file", "Plan what 'apply' would do with this file.").StringVar(&file)
	c.Flag("unset", "Names of settings to state no longer.").SetValue((*commaList)(&unset))
	c.Flag("remove", "Drop the node.").BoolVar(&remove)
	settingFlags := declareSettingFlags(c)
	c.Action(func(*kingpin.ParseContext) error {
		old, version, err := a.readTree(0)
		if err != nil {
			return err
		}
		if file != "" {
			return a.printFilePlan(file, old, version)
		}
		if path == "" {
			return usageError("plan needs a path or --file")
		}
		edits := editsFromFlags(path, settingFlags, unset, remove)
		return a.printPlan(old, version, settings.Canonical(edits))
	})
}

// editsFromFlags returns the edits that the flags of the plan command describe.
func editsFromFlags(path string, settingFlags []*settingFlag, unset []string, remove bool) []settings.Edit {
	var edits []settings.Edit
	for _, s := range settingFlags {
		if s.isSet() {
			edits = append(edits, settings.Edit{Path: path, Name: s.setting.Name, Value: s.value, Op: settings.Set})
		}
	}
	for _, name := range unset {
		edits = append(edits, settings.Edit{Path: path, Name: name, Op: settings.Unset})
	}
	if remove {
		edits = append(edits, settings.Edit{Path: path, Op: settings.Remove})
	}
	return edits
}

func (a *app) printFilePlan(file string, old *settings.Tree, version uint64) error {
	next, _, err := a.readTreeFile(file)
	if err != nil {
		return err
	}
	return a.printPlan(old, version, settings.Diff(old, next))
}

func (a *app) printPlan(old *settings.Tree, version uint64, edits []settings.Edit) error {
	next, err := old.Apply(version+1, edits)
	if err != nil {
		return err
	}
	return a.print(&planResult{Version: version, Edits: settings.RedactEdits(edits), Effects: settings.Plan(old, next)})
}

func (p *planResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "at version %d this would do:\n", p.Version)
	writeEdits(w, p.Edits)
	writeEffects(w, p.Effects, len(p.Effects))
}

func writeEdits(w io.Writer, edits []settings.Edit) {
	for _, e := range edits {
		fmt.Fprintf(w, "  %s\n", formatEdit(e))
	}
}

func formatEdit(e settings.Edit) string {
	switch e.Op {
	case settings.Set:
		return fmt.Sprintf("set %s %s=%s", e.Path, e.Name, e.Value)
	case settings.Unset:
		return fmt.Sprintf("unset %s %s", e.Path, e.Name)
	}
	return fmt.Sprintf("remove %s", e.Path)
}
