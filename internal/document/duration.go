package document

import (
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that is encoded as text, such as "1h" or "250ms".
type Duration time.Duration

// MarshalText returns the duration in the form that UnmarshalText accepts.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText accepts the form of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.New(`duration must be a text such as "250ms", "30s" or "1h"`)
	}
	*d = Duration(v)
	return nil
}
