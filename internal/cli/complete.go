package cli

import "time"

// completeTimeout is how long a shell waits at most for paths to offer.
const completeTimeout = 500 * time.Millisecond

// completePath offers the paths of the tree to the shell, as far as environment
// variables say where the control VMs are; flags have not been read by then.
func (a *app) completePath() []string {
	a.timeout = completeTimeout
	tree, _, err := a.readTree(0)
	if err != nil {
		return nil
	}
	return allPaths(tree)
}
