package sample

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/document"
)

// Change makes a sample faulty: With replaces the first occurrence of Old, which makes Field invalid. It is an alias,
// so that tables of changes can omit the field names.
type Change = struct{ Old, With, Field string }

// Refused requires that decode refuses the changed sample with an error that has the name of the document, the
// field and its allowed values. It returns the error.
func Refused(t *testing.T, c Change, name, sample string, decode func([]byte) error) *document.Error {
	t.Helper()
	is := is.New(t)
	text := strings.Replace(sample, c.Old, c.With, 1)
	is.True(text != sample) // want Old in the sample
	var e *document.Error
	is.True(errors.As(decode([]byte(text)), &e)) // want a document.Error
	is.Equal(e.Field, c.Field)
	is.True(e.Document == name && e.Allowed != "") // want the name of the document and the allowed values
	return e
}

// Fuzz searches for input on which decode panics, and for accepted documents that decode refuses once they are encoded.
func Fuzz[D any](f *testing.F, decode func([]byte) (D, error), seeds ...string) {
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := decode(b)
		if err != nil {
			return
		}
		text, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(text); err != nil {
			t.Fatal(err)
		}
	})
}
