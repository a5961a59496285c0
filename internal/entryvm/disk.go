//go:build !faultydisk

package entryvm

import "pearmoor/internal/journal"

// diskOf returns the file system used for a data directory.
func diskOf(string) journal.FS { return journal.OS{} }
