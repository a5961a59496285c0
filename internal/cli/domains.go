package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/settings"
)

// nameList is the output of the domains command.
type nameList struct {
	Names []string `json:"names"`
}

func (a *app) declareDomains(k *kingpin.Application) {
	var file string
	var firstLevel, secondLevel bool
	c := k.Command("domains", `List the failure domains of the leaves that a tree in a file declares.

Example: pearmoor domains --file=examples/bagmati.yaml`)
	c.Flag("file", "The file; - is the standard input.").Required().StringVar(&file)
	c.Flag("region", "List the nodes right below the root instead.").Envar("PEARMOOR_DOMAINS_REGION").BoolVar(&firstLevel)
	c.Flag("desks", "List the nodes of the second level instead.").BoolVar(&secondLevel)
	c.Action(func(*kingpin.ParseContext) error {
		tree, _, err := a.readTreeFile(file)
		if err != nil {
			return err
		}
		switch {
		case firstLevel:
			return a.print(&nameList{Names: nodesAtLevel(tree, 1)})
		case secondLevel:
			return a.print(&nameList{Names: nodesAtLevel(tree, 2)})
		}
		return a.print(&nameList{Names: failureDomains(tree)})
	})
}

// failureDomains returns the failure domains of all leaves, sorted.
func failureDomains(tree *settings.Tree) []string {
	var out []string
	for _, service := range tree.Services(settings.Root) {
		e, ok := tree.Effective(service)
		if !ok {
			continue
		}
		for _, leaf := range e.Leaves {
			out = append(out, leaf.Domain)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// nodesAtLevel returns the paths of the nodes at a level of the tree that have query
// services at or below them; level 1 is the one below the root.
func nodesAtLevel(tree *settings.Tree, level int) []string {
	var out []string
	for _, service := range tree.Services(settings.Root) {
		segments := strings.Split(strings.Trim(service, settings.Root), settings.Root)
		if len(segments) >= level {
			out = append(out, strings.Join(segments[:level], settings.Root))
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (n *nameList) writeText(w io.Writer) {
	for _, name := range n.Names {
		fmt.Fprintln(w, name)
	}
}
