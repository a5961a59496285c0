package cli

import (
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/settings"
)

// settingFlag is the flag of one setting of the schema.
type settingFlag struct {
	setting   settings.Setting
	value     string
	setByUser bool
}

// declareEdit declares set, unset and remove.
func (a *app) declareEdit(k *kingpin.Application) {
	a.declareSet(k)
	a.declareUnset(k)
	a.declareRemove(k)
}

func (a *app) declareSet(k *kingpin.Application) {
	var path string
	var flags changeFlags
	c := k.Command("set", `State settings at a node of the tree.

Example: pearmoor set /kathmandu-valley/counter-desk --hedge-after=20ms --reason="tail of counter searches"`)
	c.Arg("path", "The node; it is made if need be.").Required().HintAction(a.completePaths).StringVar(&path)
	flags.declare(c)
	settingFlags := declareSettingFlags(c)
	c.Action(func(*kingpin.ParseContext) error {
		var edits []settings.Edit
		for _, s := range settingFlags {
			if s.isSet() {
				edits = append(edits, settings.Edit{Path: path, Name: s.setting.Name, Value: s.value, Op: settings.Set})
			}
		}
		if len(edits) == 0 {
			return usageError("set needs at least one setting, such as --hedge-after=20ms")
		}
		return a.submitEdits(&flags, edits)
	})
}

// declareSettingFlags adds a flag for each setting of the schema except secrets: the command
// lines of processes are visible to other users and kept in the history of shells.
func declareSettingFlags(c *kingpin.CmdClause) []*settingFlag {
	var out []*settingFlag
	for _, s := range settings.Schema() {
		if s.Secret {
			continue
		}
		flag := &settingFlag{setting: s}
		c.Flag(s.Name, settingHelp(s)).Envar(s.Env()).PlaceHolder(strings.ToUpper(s.Unit)).
			HintOptions(s.Choices...).IsSetByUser(&flag.setByUser).StringVar(&flag.value)
		out = append(out, flag)
	}
	return out
}

func settingHelp(s settings.Setting) string {
	help := s.Doc
	switch {
	case len(s.Choices) > 0:
		help += " One of " + strings.Join(s.Choices, ", ") + "."
	case s.Min != "" || s.Max != "":
		help += " From " + s.Min + " to " + s.Max + "."
	}
	if s.Default != "" {
		help += " Default " + s.Default + "."
	}
	if s.RootOnly {
		help += " Stated at / only."
	}
	return help
}

// isSet reports whether the flag or its environment variable is set.
func (f *settingFlag) isSet() bool {
	return f.setByUser || os.Getenv(f.setting.Env()) != ""
}

func (a *app) declareUnset(k *kingpin.Application) {
	var path string
	var names []string
	var flags changeFlags
	c := k.Command("unset", `State settings no longer; what is inherited holds again.

Example: pearmoor unset /kathmandu-valley/counter-desk hedge-after --reason="back to learned"`)
	c.Arg("path", "The node.").Required().HintAction(a.completePaths).StringVar(&path)
	c.Arg("setting", "Names of settings.").Required().HintAction(settingNames).StringsVar(&names)
	flags.declare(c)
	c.Action(func(*kingpin.ParseContext) error {
		var edits []settings.Edit
		for _, name := range names {
			edits = append(edits, settings.Edit{Path: path, Name: name, Op: settings.Unset})
		}
		return a.submitEdits(&flags, edits)
	})
}

func (a *app) declareRemove(k *kingpin.Application) {
	var path string
	var flags changeFlags
	c := k.Command("remove", `Drop a node with all below it.

Example: pearmoor remove /kathmandu-valley/old-desk --reason="closed in March"`)
	c.Arg("path", "The node.").Required().HintAction(a.completePaths).StringVar(&path)
	flags.declare(c)
	c.Action(func(*kingpin.ParseContext) error {
		return a.submitEdits(&flags, []settings.Edit{{Path: path, Op: settings.Remove}})
	})
}

// submitEdits submits edits to the newest tree, or to the tree at --base.
func (a *app) submitEdits(f *changeFlags, edits []settings.Edit) error {
	base := f.base.value
	if !f.base.isSet {
		base = 0
	}
	old, version, err := a.readTree(base)
	if err != nil {
		return err
	}
	return a.submitChange(f, old, version, settings.Canonical(edits))
}

func settingNames() []string {
	var names []string
	for _, s := range settings.Schema() {
		names = append(names, s.Name)
	}
	return names
}
