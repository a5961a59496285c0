package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/settings"
)

// explainedValue is one value that holds at a node, with the change that set it.
type reason struct {
	settings.Explained
	Operator      string `json:"operator,omitempty"`
	Verified      bool   `json:"verified"` // a certificate vouches for the operator's name
	AcceptedMS    int64  `json:"accepted_unix_ms,omitempty"`
	Why           string `json:"reason,omitempty"`
	OutOfTheTrail bool   `json:"out_of_the_trail,omitempty"` // the change is older than the retained audit trail
}

// explanation is the output of the explain command.
type explanation struct {
	Path    string   `json:"path"`
	Version uint64   `json:"version"`
	Values  []reason `json:"values"`

	all bool
}

func (a *app) declareExplain(k *kingpin.Application) {
	var path, name string
	var all bool
	c := k.Command("explain", `Show each value that holds at a node: the node that states it, who set it, when and why.

Example: pearmoor explain /kathmandu-valley/counter-desk/search-07

Example: pearmoor explain /kathmandu-valley/counter-desk hedge-after`)
	c.Arg("path", "The node.").Required().HintAction(a.completePath).StringVar(&path)
	c.Arg("setting", "One setting only.").HintAction(settingNames).StringVar(&name)
	c.Flag("all", "Show defaults too.").BoolVar(&all)
	c.Action(func(*kingpin.ParseContext) error { return a.explain(path, name, all) })
}

func (a *app) explain(path, name string, all bool) error {
	tree, version, err := a.readTree(0)
	if err != nil {
		return err
	}
	explained, err := tree.Explain(path)
	if err != nil {
		return err
	}
	out := &explanation{Path: path, Version: version, all: all || name != ""}
	trail := make(map[uint64]*record)
	for _, e := range explained {
		if name != "" && e.Name != name {
			continue
		}
		r, err := a.reasonOf(e, trail)
		if err != nil {
			return err
		}
		out.Values = append(out.Values, r)
	}
	if name != "" && len(out.Values) == 0 {
		return failWith(ExitInvalid, "%s has no value at %s; 'pearmoor explain %s --all' lists the settings", name, path, path)
	}
	return a.print(out)
}

// explainValue adds the change that set a value. records caches the records that
// were read, by version; nil stands for a change older than the audit trail.
func (a *app) reasonOf(e settings.Explained, seen map[uint64]*record) (reason, error) {
	r := reason{Explained: e}
	if e.Version == 0 {
		return r, nil
	}
	rec, ok := seen[e.Version]
	if !ok {
		var err error
		if rec, err = a.auditRecord(e.Version); err != nil {
			return r, err
		}
		seen[e.Version] = rec
	}
	if rec == nil {
		r.OutOfTheTrail = true
		return r, nil
	}
	r.Operator, r.Verified, r.AcceptedMS, r.Why = rec.Operator, rec.Verified, rec.AcceptedMS, rec.Reason
	return r, nil
}

func (x *explanation) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s at version %d\n", x.Path, x.Version)
	var rows [][]string
	defaults := 0
	for _, r := range x.Values {
		if r.StatedAt == settings.StatedAtDefault && !x.all {
			defaults++
			continue
		}
		rows = append(rows, []string{r.Name, r.Value, r.StatedAt, r.version(), r.who(), showTime(r.AcceptedMS), r.why()})
	}
	table(w, "SETTING|VALUE|STATED AT|VERSION|BY|WHEN|WHY", rows)
	if defaults > 0 {
		fmt.Fprintf(w, "%s at the default; --all shows them\n", plural(defaults, "setting"))
	}
}

func (r *reason) version() string {
	if r.Version == 0 {
		return "-"
	}
	return fmt.Sprint(r.Version)
}

func (r *reason) who() string {
	if r.Operator == "" {
		return "-"
	}
	return showOperator(r.Operator, r.Verified)
}

func (r *reason) why() string {
	var parts []string
	if r.Obsolete {
		parts = append(parts, "(not known to this version, no effect)")
	}
	if r.OutOfTheTrail {
		parts = append(parts, "(older than the audit trail)")
	}
	if r.Why != "" {
		parts = append(parts, r.Why)
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

func showOperator(name string, verified bool) string {
	if verified {
		return name
	}
	return name + " (unverified)"
}
