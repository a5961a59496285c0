package contract

import (
	"fmt"
	"strings"
)

// Fault describes an invalid field: its name, its value, the reason and a fix.
type Fault struct {
	Field string `json:"field"`
	Value string `json:"value,omitempty"`
	Why   string `json:"why"`
	Fix   string `json:"fix"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s=%q: %s; %s", f.Field, f.Value, f.Why, f.Fix)
}

// Faults is an error that lists all faults found.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// ErrOrNil returns fs as an error, or nil if fs is empty.
func (fs Faults) ErrOrNil() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
