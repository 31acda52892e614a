package document

import (
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that is written as text, such as "1h" or "250ms".
type Duration time.Duration

// MarshalText writes the duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.New(`a duration such as "250ms", "30s" or "1h"`)
	}
	*d = Duration(v)
	return nil
}
