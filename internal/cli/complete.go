package cli

// completePath offers the paths of the tree to the shell. It says nothing when
// no control VM can be asked: the flags may not have been read yet.
func (a *app) completePath() []string {
	tree, _, err := a.readTree(0)
	if err != nil {
		return nil
	}
	return allPaths(tree)
}
