package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/settings"
)

// explainedValue is one value that holds at a node, with the change that set it.
type explainedValue struct {
	settings.Explanation
	Operator   string `json:"operator,omitempty"`
	Verified   bool   `json:"verified"` // a certificate vouches for the operator's name
	AcceptedMS int64  `json:"accepted_unix_ms,omitempty"`
	Reason     string `json:"reason,omitempty"`
	NotInTrail bool   `json:"out_of_the_trail,omitempty"` // the change is older than the retained audit trail
}

// explanation is the output of the explain command.
type explanation struct {
	Path    string           `json:"path"`
	Version uint64           `json:"version"`
	Values  []explainedValue `json:"values"`

	showDefaults bool
}

func (a *app) declareExplain(k *kingpin.Application) {
	var path, name string
	var showDefaults bool
	c := k.Command("explain", `Show each value that holds at a node: the node that states it, who set it, when and why.

Example: pearmoor explain /kathmandu-valley/counter-desk/search-07

Example: pearmoor explain /kathmandu-valley/counter-desk hedge-after`)
	c.Arg("path", "The node.").Required().HintAction(a.completePaths).StringVar(&path)
	c.Arg("setting", "One setting only.").HintAction(settingNames).StringVar(&name)
	c.Flag("all", "Show defaults too.").BoolVar(&showDefaults)
	c.Action(func(*kingpin.ParseContext) error { return a.explain(path, name, showDefaults) })
}

func (a *app) explain(path, name string, showDefaults bool) error {
	tree, version, err := a.readTree(0)
	if err != nil {
		return err
	}
	explained, err := tree.Explain(path)
	if err != nil {
		return err
	}
	out := &explanation{Path: path, Version: version, showDefaults: showDefaults || name != ""}
	records := make(map[uint64]*changeRecord)
	for _, e := range explained {
		if name != "" && e.Name != name {
			continue
		}
		v, err := a.explainValue(e, records)
		if err != nil {
			return err
		}
		out.Values = append(out.Values, v)
	}
	if name != "" && len(out.Values) == 0 {
		return exitErrorf(ExitInvalid, "%s has no value at %s; 'pearmoor explain %s --all' lists the settings", name, path, path)
	}
	return a.print(out)
}

// explainValue adds the change that set a value. records caches the records that
// were read, by version; nil stands for a change older than the audit trail.
func (a *app) explainValue(e settings.Explanation, records map[uint64]*changeRecord) (explainedValue, error) {
	v := explainedValue{Explanation: e}
	if e.Version == 0 {
		return v, nil
	}
	record, ok := records[e.Version]
	if !ok {
		var err error
		if record, err = a.readAuditRecord(e.Version); err != nil {
			return v, err
		}
		records[e.Version] = record
	}
	if record == nil {
		v.NotInTrail = true
		return v, nil
	}
	v.Operator, v.Verified, v.AcceptedMS, v.Reason = record.Operator, record.Verified, record.AcceptedMS, record.Reason
	return v, nil
}

func (e *explanation) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s at version %d\n", e.Path, e.Version)
	var rows [][]string
	defaults := 0
	for _, v := range e.Values {
		if v.Source == settings.SourceDefault && !e.showDefaults {
			defaults++
			continue
		}
		rows = append(rows, []string{v.Name, v.Value, v.Source, v.versionText(), v.operatorText(), formatTime(v.AcceptedMS), v.reasonText()})
	}
	writeTable(w, "SETTING|VALUE|STATED AT|VERSION|BY|WHEN|WHY", rows)
	if defaults > 0 {
		fmt.Fprintf(w, "%s at the default; --all shows them\n", plural(defaults, "setting"))
	}
}

func (v *explainedValue) versionText() string {
	if v.Version == 0 {
		return "-"
	}
	return fmt.Sprint(v.Version)
}

func (v *explainedValue) operatorText() string {
	if v.Operator == "" {
		return "-"
	}
	return formatOperator(v.Operator, v.Verified)
}

func (v *explainedValue) reasonText() string {
	var parts []string
	if v.Obsolete {
		parts = append(parts, "(not known to this version, no effect)")
	}
	if v.NotInTrail {
		parts = append(parts, "(older than the audit trail)")
	}
	if v.Reason != "" {
		parts = append(parts, v.Reason)
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

func formatOperator(name string, verified bool) string {
	if verified {
		return name
	}
	return name + " (unverified)"
}
