package standin

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written as a string such as "6ms" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("duration %q: write a number with a unit, such as 6ms", text)
	}
	*d = Duration(v)
	return nil
}
