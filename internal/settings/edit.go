package settings

import (
	"slices"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/wire"
)

// Op is what an edit does.
type Op uint8

// The operations.
const (
	Set    Op = iota // state a value at a node; the node is made if need be
	Unset            // state it no longer; what is inherited holds again
	Remove           // drop the node with all below it; Name and Value are empty
)

var opNames = [...]string{Set: "set", Unset: "unset", Remove: "remove"}

// String returns set, unset or remove.
func (o Op) String() string {
	if int(o) < len(opNames) {
		return opNames[o]
	}
	return "unknown"
}

// Edit changes one setting of one node, or drops a node. Path is "/" for the root.
type Edit struct {
	Path  string `json:"path"`
	Name  string `json:"name,omitempty"`
	Value string `json:"value,omitempty"`
	Op    Op     `json:"op"`
}

// MarshalText implements encoding.TextMarshaler.
func (o Op) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; an unknown name is an error.
func (o *Op) UnmarshalText(text []byte) error {
	i := slices.Index(opNames[:], string(text))
	if i < 0 {
		return errors.Newf("operation %q is unknown; use set, unset or remove", text)
	}
	*o = Op(i)
	return nil
}

// EditsToWire returns the messages that carry edits.
func EditsToWire(edits []Edit) []*wire.Edit {
	out := make([]*wire.Edit, len(edits))
	for i, e := range edits {
		out[i] = &wire.Edit{Path: e.Path, Name: e.Name, Value: e.Value, Op: wire.EditOp(e.Op)}
	}
	return out
}

// EditsFromWire returns the edits that messages carry. An operation that this
// version does not know is kept and refused by Apply.
func EditsFromWire(edits []*wire.Edit) []Edit {
	out := make([]Edit, len(edits))
	for i, e := range edits {
		op := Op(len(opNames))
		if o := e.GetOp(); o >= 0 && int(o) < len(opNames) {
			op = Op(o)
		}
		out[i] = Edit{Path: e.GetPath(), Name: e.GetName(), Value: e.GetValue(), Op: op}
	}
	return out
}
