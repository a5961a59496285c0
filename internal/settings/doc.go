// Package settings holds the one typed schema of settings, the tree of nodes
// that state them, inheritance by path, validation, and explanations.
//
// A Tree is immutable. Apply returns a new one that shares every untouched node
// with the old one, so a daemon can swap trees under running queries. What holds
// at a node is resolved when the tree is made; Effective only looks it up.
package settings
