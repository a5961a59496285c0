package contract

import (
	"fmt"
	"strings"
)

// Fault names one field that is wrong, its value, why, and how to mend it.
type Fault struct {
	Field string `json:"field"`
	Value string `json:"value,omitempty"`
	Why   string `json:"why"`
	Fix   string `json:"fix"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s=%q: %s; %s", f.Field, f.Value, f.Why, f.Fix)
}

// Faults is an error that lists every fault found, not only the first.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// ErrOrNil returns nil when there is no fault.
func (fs Faults) ErrOrNil() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
