//go:build faultydisk

package entryvm

import (
	"pearmoor/internal/journal"
	"pearmoor/internal/journal/faultydisk"
)

// diskOf returns a file system that tests can slow down, stall or fill up.
func diskOf(dir string) journal.FS { return faultydisk.New(dir) }
