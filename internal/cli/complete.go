package cli

import "time"

// completionTimeout limits how long shell completion waits for the tree.
const completionTimeout = 500 * time.Millisecond

// completePaths returns the paths of the tree for shell completion. Flags are not
// parsed at that point, so the control VMs are only known from environment
// variables and defaults.
func (a *app) completePaths() []string {
	a.timeout = completionTimeout
	tree, _, err := a.readTree(0)
	if err != nil {
		return nil
	}
	return allPaths(tree)
}
