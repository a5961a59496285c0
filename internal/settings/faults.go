package settings

import (
	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/wire"
)

// FaultsToWire converts the faults in err to protobuf messages. An error without faults
// becomes a single fault.
func FaultsToWire(err error) []*wire.Fault {
	var fs contract.Faults
	if !errors.As(err, &fs) {
		fs = contract.Faults{{Field: "edits", Why: err.Error(), Fix: "correct the edits"}}
	}
	out := make([]*wire.Fault, len(fs))
	for i, f := range fs {
		out[i] = &wire.Fault{Field: f.Field, Value: f.Value, Why: f.Why, Fix: f.Fix}
	}
	return out
}

// FaultsFromWire converts protobuf messages to faults.
func FaultsFromWire(list []*wire.Fault) contract.Faults {
	var out contract.Faults
	for _, f := range list {
		out = append(out, contract.Fault{Field: f.GetField(), Value: f.GetValue(), Why: f.GetWhy(), Fix: f.GetFix()})
	}
	return out
}
