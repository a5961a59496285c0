package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/settings"
)

// nodeValues is one node with its own settings or, with --effective, with all values
// that hold there.
type nodeValues struct {
	Path   string            `json:"path"`
	Values map[string]string `json:"values"`

	names []string // keys of Values in the order of the output
}

// getResult is the output of the get command.
type getResult struct {
	Version uint64       `json:"version"`
	Nodes   []nodeValues `json:"nodes"`
}

func (a *app) declareGet(k *kingpin.Application) {
	var path string
	var version uint64
	var effective bool
	c := k.Command("get", `Show what is stated at a node and below it.

Example: pearmoor get /kathmandu-valley

Example: pearmoor get /kathmandu-valley/counter-desk --effective`)
	c.Arg("path", "The node.").Default(settings.Root).HintAction(a.completePaths).StringVar(&path)
	c.Flag("at", "Version of the tree; 0 is the newest.").Uint64Var(&version)
	c.Flag("effective", "Show every value that holds at the node, also the inherited ones.").BoolVar(&effective)
	c.Action(func(*kingpin.ParseContext) error {
		tree, at, err := a.readTree(version)
		if err != nil {
			return err
		}
		nodes, err := statedNodes(tree, path)
		if effective {
			nodes, err = effectiveNode(tree, path)
		}
		if err != nil {
			return err
		}
		return a.print(&getResult{Version: at, Nodes: nodes})
	})
}

// effectiveNode returns the node with all values that hold there, also inherited ones.
func effectiveNode(tree *settings.Tree, path string) ([]nodeValues, error) {
	explained, err := tree.Explain(path)
	if err != nil {
		return nil, err
	}
	n := nodeValues{Path: path, Values: make(map[string]string)}
	for _, e := range explained {
		if !e.Obsolete {
			n.Values[e.Name] = e.Value
			n.names = append(n.names, e.Name)
		}
	}
	return []nodeValues{n}, nil
}

// statedNodes returns the nodes at and below path that state settings, taken from
// the difference between the tree and an empty one.
func statedNodes(tree *settings.Tree, path string) ([]nodeValues, error) {
	if _, ok := tree.Effective(path); !ok {
		return nil, exitErrorf(ExitInvalid, "there is no node %q; 'pearmoor get /' lists them", path)
	}
	var nodes []nodeValues
	for _, e := range settings.RedactEdits(settings.Diff(settings.New(), tree)) {
		if e.Op != settings.Set || !isAtOrBelow(e.Path, path) {
			continue
		}
		if len(nodes) == 0 || nodes[len(nodes)-1].Path != e.Path {
			nodes = append(nodes, nodeValues{Path: e.Path, Values: make(map[string]string)})
		}
		n := &nodes[len(nodes)-1]
		n.Values[e.Name] = e.Value
		n.names = append(n.names, e.Name)
	}
	return nodes, nil
}

// isAtOrBelow reports whether path is at or below root.
func isAtOrBelow(path, root string) bool {
	path, root = strings.Trim(path, settings.Root), strings.Trim(root, settings.Root)
	return root == "" || path == root || strings.HasPrefix(path, root+settings.Root)
}

// allPaths returns the paths of all nodes that state settings.
func allPaths(tree *settings.Tree) []string {
	nodes, err := statedNodes(tree, settings.Root)
	if err != nil {
		return nil
	}
	paths := make([]string, len(nodes))
	for i, n := range nodes {
		paths[i] = n.Path
	}
	return paths
}

func (g *getResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "version %d\n", g.Version)
	for _, n := range g.Nodes {
		fmt.Fprintf(w, "%s\n", n.Path)
		for _, name := range n.names {
			fmt.Fprintf(w, "  %s=%s\n", name, n.Values[name])
		}
	}
}
