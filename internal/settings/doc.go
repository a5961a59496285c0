// Package settings defines the typed schema of all settings and the tree of nodes at
// which they are set. It implements inheritance by path, validation, and the
// explanation of where an effective value comes from.
//
// A Tree is immutable. Apply returns a new tree that shares all unchanged nodes with
// the old one, so a daemon can replace its tree while queries are running. Effective
// values are resolved when a tree is created; Effective only looks them up.
package settings
