// Package cli is the pearmoor command-line tool: it edits and reads the tree of
// settings, shows the tier's state, and asks queries as a caller would.
//
// Each command group has its own file, with a function that declares the commands
// and a method for each of them. A command prints one value, as text or as JSON.
package cli
