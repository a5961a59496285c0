//go:build !faultydisk

package entryvm

import "pearmoor/internal/journal"

// diskOf returns the file system of a data folder.
func diskOf(string) journal.FS { return journal.OS{} }
