package rules

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/masticspar/masticspar/internal/document"
	"github.com/matryer/is"
)

const sample = `{"version":2,"leaving":["h1","h2"],
"services":[{"name":"allas","availability-zones":["buda-a","pest-b"]},{"name":"eredmeny","availability-zones":["buda-a"]}],
"hosts":[{"name":"h3","max-share":0.5},{"name":"h4","max-share":1}]}`

// Guards against a rule that is not read.
func TestDecode(t *testing.T) {
	is := is.New(t)
	d, err := Decode([]byte(sample))
	is.NoErr(err)
	is.Equal(d.Leaving, []string{"h1", "h2"})
	is.Equal(d.Services[0], Service{Name: "allas", AvailabilityZones: []string{"buda-a", "pest-b"}})
	is.Equal(d.Hosts[0], Host{Name: "h3", MaxShare: 0.5})
}

// Guards against faulty rules that are put in force, and against an error without field and range.
func TestDecodeRefuses(t *testing.T) {
	for _, c := range []struct{ old, with, field string }{
		{`"version":2`, `"version":0`, "version"},
		{`"h2"`, `"h1"`, "leaving[1]"},
		{`"h2"`, `""`, "leaving[1]"},
		{`"eredmeny"`, `"allas"`, "services[1].name"},
		{`["buda-a"]`, `[]`, "services[1].availability-zones"},
		{`"pest-b"`, `"buda-a"`, "services[0].availability-zones[1]"},
		{`"h4"`, `"h3"`, "hosts[1].name"},
		{`0.5`, `0`, "hosts[0].max-share"},
		{`0.5`, `1.01`, "hosts[0].max-share"},
		{`"max-share"`, `"maxshare"`, "hosts[0].maxshare"},
	} {
		t.Run(c.with, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(sample, c.old, c.with, 1)
			is.True(text != sample)
			_, err := Decode([]byte(text))
			var e *document.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Field, c.field)
			is.True(e.Document == "rules" && e.Allowed != "" && e.Got != "")
		})
	}
}

// FuzzDecode guards against a panic and against a document that is accepted, written and then refused.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(sample))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			return
		}
		text, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(text); err != nil {
			t.Fatal(err)
		}
	})
}
