//go:build faultydisk

package entryvm

import (
	"pearmoor/internal/journal"
	"pearmoor/internal/journal/faultydisk"
)

// diskOf returns a file system that a test can make slow, stall or fill.
func diskOf(dir string) journal.FS { return faultydisk.New(dir) }
