// Package settings holds the one typed schema of settings, the tree of nodes
// that state them, inheritance by path, validation, and explanations.
package settings

// Tree is an immutable tree of settings.
type Tree struct{}
