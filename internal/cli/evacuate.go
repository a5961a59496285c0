package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/evacuation"
	"pearmoor/internal/settings"
)

// evacuationEntry is the state of one failure domain.
type evacuationEntry struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"`
	Revision  uint64 `json:"revision"` // version of the tree in which the newest order was accepted
}

// evacuationList is the output of 'evacuate list'.
type evacuationList struct {
	Version uint64            `json:"version"`
	Domains []evacuationEntry `json:"domains"`
}

// declareEvacuate declares evacuate with its subcommands.
func (a *app) declareEvacuate(k *kingpin.Application) {
	c := k.Command("evacuate", "Keep requests away from the leaves of a failure domain.")
	a.declareEvacuationOrder(c, "start", true, `Send no requests to the leaves of a failure domain until 'evacuate finish'. Requests that
already run there are finished. It is in force on every VM that can be reached within a second
or so; 'evacuate list' shows it, 'status' whether every VM has confirmed it.

Example: pearmoor evacuate start hall-2 --reason="power maintenance"`)
	a.declareEvacuationOrder(c, "finish", false, `Send requests to the leaves of a failure domain again.

Example: pearmoor evacuate finish hall-2 --reason="maintenance done"`)
	c.Command("list", "List the failure domains that are or were evacuated.").
		Action(func(*kingpin.ParseContext) error { return a.listEvacuations() })
}

func (a *app) declareEvacuationOrder(parent *kingpin.CmdClause, name string, evacuate bool, help string) {
	var domain string
	var flags changeFlags
	c := parent.Command(name, help)
	c.Arg("domain", "The failure domain.").Required().StringVar(&domain)
	flags.declare(c)
	c.Action(func(*kingpin.ParseContext) error { return a.orderEvacuation(&flags, domain, evacuate) })
}

func (a *app) orderEvacuation(f *changeFlags, domain string, evacuate bool) error {
	tree, version, err := a.readTree(f.base.value)
	if err != nil {
		return err
	}
	if evacuate {
		a.warnOfEvacuation(tree, domain)
	}
	return a.submitChange(f, tree, version, evacuation.Edits(domain, evacuate, version+1))
}

// warnOfEvacuation warns of other evacuated domains and of query services whose leaves are
// all in evacuated domains once this one is.
func (a *app) warnOfEvacuation(tree *settings.Tree, domain string) {
	evacuated := slices.DeleteFunc(evacuation.FromTree(tree).Evacuated(), func(d string) bool { return d == domain })
	for _, other := range evacuated {
		_, _ = fmt.Fprintf(a.errOut, "warning: failure domain %s is evacuated as well\n", other)
	}
	evacuated = append(evacuated, domain)
	for _, service := range tree.Services("") {
		e, _ := tree.Effective(service)
		left := slices.ContainsFunc(e.Leaves, func(l settings.Leaf) bool { return !slices.Contains(evacuated, l.Domain) })
		if len(e.Leaves) > 0 && !left {
			_, _ = fmt.Fprintf(a.errOut, "warning: query service %s has no leaf outside the evacuated failure domains\n", service)
		}
	}
}

func (a *app) listEvacuations() error {
	tree, version, err := a.readTree(0)
	if err != nil {
		return err
	}
	out := &evacuationList{Version: version, Domains: []evacuationEntry{}}
	for name, state := range evacuation.FromTree(tree) {
		out.Domains = append(out.Domains, evacuationEntry{Domain: name, Evacuated: state.Evacuated, Revision: state.Revision})
	}
	slices.SortFunc(out.Domains, func(x, y evacuationEntry) int { return cmp.Compare(x.Domain, y.Domain) })
	return a.print(out)
}

func (l *evacuationList) writeText(w io.Writer) {
	if len(l.Domains) == 0 {
		_, _ = io.WriteString(w, "no failure domain has been evacuated\n")
		return
	}
	rows := make([][]string, len(l.Domains))
	for i, d := range l.Domains {
		state := "in use"
		if d.Evacuated {
			state = "evacuated"
		}
		rows[i] = []string{d.Domain, state, strconv.FormatUint(d.Revision, 10)}
	}
	writeTable(w, "FAILURE DOMAIN\tSTATE\tSINCE VERSION", rows)
}
