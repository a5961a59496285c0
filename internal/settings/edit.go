package settings

import (
	"slices"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/wire"
)

// Op is the operation of an edit.
type Op uint8

// The operations.
const (
	Set    Op = iota // set a value at a node; the node is created if it does not exist
	Unset            // delete the value set at a node; the inherited value or the default applies again
	Remove           // delete the node and its descendants; Name and Value are empty
)

var opNames = [...]string{Set: "set", Unset: "unset", Remove: "remove"}

// String returns "set", "unset" or "remove", and "unknown" for any other value.
func (o Op) String() string {
	if int(o) < len(opNames) {
		return opNames[o]
	}
	return "unknown"
}

// Edit changes one setting of one node, or removes a node. Path is "/" for the root.
type Edit struct {
	Path  string `json:"path"`
	Name  string `json:"name,omitempty"`
	Value string `json:"value,omitempty"`
	Op    Op     `json:"op"`
}

// MarshalText implements encoding.TextMarshaler.
func (o Op) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an
// unknown name.
func (o *Op) UnmarshalText(text []byte) error {
	i := slices.Index(opNames[:], string(text))
	if i < 0 {
		return errors.Newf("operation %q is unknown; use set, unset or remove", text)
	}
	*o = Op(i)
	return nil
}

// EditsToWire converts edits to protobuf messages.
func EditsToWire(edits []Edit) []*wire.Edit {
	out := make([]*wire.Edit, len(edits))
	for i, e := range edits {
		out[i] = &wire.Edit{Path: e.Path, Name: e.Name, Value: e.Value, Op: wire.EditOp(e.Op)}
	}
	return out
}

// EditsFromWire converts protobuf messages to edits. An operation that this release
// does not know becomes an invalid Op, which Apply rejects.
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
