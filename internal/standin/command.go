package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// Command changes running leaves. It is the body of POST /control. Leaf and Service
// select the leaves; if both are empty, all leaves are selected.
type Command struct {
	Leaf       string          `json:"leaf,omitempty"`    // name
	Service    string          `json:"service,omitempty"` // path of a node: all leaves at or below it
	Set        json.RawMessage `json:"set,omitempty"`     // the fields of Behavior to change
	Publish    *Version        `json:"publish,omitempty"` // add an index version
	Retire     uint64          `json:"retire,omitempty"`  // remove an index version
	Power      Power           `json:"power,omitempty"`   // take leaves down or bring them up
	ResetPeaks bool            `json:"reset_peaks,omitempty"`
}

// Version is an index version with the size of its partition map.
type Version struct {
	Version uint64 `json:"version"`
	Shards  uint32 `json:"shards"`
}

// Power selects whether a leaf is taken down or brought up.
type Power string

// Values of Power.
const (
	PowerUnchanged Power = ""
	PowerDown      Power = "down" // listener and connections close at once
	PowerUp        Power = "up"   // same address, cold start
)

const maxShards = 4096

// ParseCommand decodes and validates a command.
func ParseCommand(body []byte) (*Command, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var c Command
	if err := dec.Decode(&c); err != nil {
		return nil, contract.Faults{{Field: "body", Why: err.Error(), Fix: "send one JSON object with the fields of Command"}}
	}
	return &c, c.validate()
}

func (c *Command) validate() error {
	var fs contract.Faults
	if c.Set != nil {
		if _, err := DefaultBehavior().Update(c.Set); err != nil {
			var inner contract.Faults
			errors.As(err, &inner)
			fs = append(fs, inner...)
		}
	}
	if v := c.Publish; v != nil && (v.Version == 0 || v.Shards == 0 || v.Shards > maxShards) {
		fs = append(fs, contract.Fault{Field: "publish", Value: fmt.Sprintf("%+v", *v), Why: "is no index version",
			Fix: fmt.Sprintf("use a version from 1 and 1 to %d shards", maxShards)})
	}
	switch c.Power {
	case PowerUnchanged, PowerDown, PowerUp:
	default:
		fs = append(fs, contract.Fault{Field: "power", Value: string(c.Power), Why: "is unknown", Fix: "use down or up"})
	}
	return fs.ErrOrNil()
}

// Apply applies c to the leaves that it selects and returns their number.
func (f *Fleet) Apply(c *Command) (int, error) {
	var errs error
	n := 0
	for _, l := range f.leaves {
		if !c.selects(l) {
			continue
		}
		n++
		errs = errors.CombineErrors(errs, c.applyTo(l))
	}
	return n, errs
}

func (c *Command) selects(l fleetLeaf) bool {
	if c.Leaf != "" && c.Leaf != l.Name() {
		return false
	}
	root := strings.Trim(c.Service, "/")
	return root == "" || root == l.service || strings.HasPrefix(l.service, root+"/")
}

func (c *Command) applyTo(l fleetLeaf) error {
	if c.Set != nil {
		b, err := l.Behavior().Update(c.Set)
		if err == nil {
			err = l.SetBehavior(b)
		}
		if err != nil {
			return err
		}
	}
	if v := c.Publish; v != nil {
		held := HeldShards(l.index, l.count, v.Shards)
		l.Publish(contract.LeafIndex{Service: l.service, Version: v.Version, Shards: v.Shards, HeldShards: held})
	}
	if c.Retire != 0 {
		l.Retire(l.service, c.Retire)
	}
	if c.ResetPeaks {
		l.ResetPeaks()
	}
	switch c.Power {
	case PowerDown:
		return l.Down()
	case PowerUp:
		return l.Up()
	}
	return nil
}
