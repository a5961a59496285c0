// Package cli is the pearmoor command-line tool: it edits and reads the tree of
// settings, shows the tier's state, and asks queries as a caller would.
//
// Each command group has its file: a function that declares the commands, and
// one method for each. Commands write one value, as text for people or as JSON.
package cli
