package rules

import (
	"testing"

	"github.com/masticspar/masticspar/internal/standin/sample"
	"github.com/matryer/is"
)

const valid = `{"version":2,"leaving":["h1","h2"],
"services":[{"name":"allas","availability-zones":["buda-a","pest-b"]},{"name":"eredmeny","availability-zones":["buda-a"]}],
"hosts":[{"name":"h3","max-share":0.5},{"name":"h4","max-share":1}]}`

// Guards against a rule that is not decoded.
func TestDecode(t *testing.T) {
	is := is.New(t)
	d, err := Decode([]byte(valid))
	is.NoErr(err)
	is.Equal(d.Leaving, []string{"h1", "h2"})
	is.Equal(d.Services[0], Service{Name: "allas", AvailabilityZones: []string{"buda-a", "pest-b"}})
	is.Equal(d.Hosts[0], Host{Name: "h3", MaxShare: 0.5})
}

// Guards against invalid rules that are accepted, and against an error without the field and the allowed range.
func TestDecodeRefuses(t *testing.T) {
	decode := func(b []byte) error { _, err := Decode(b); return err }
	for _, c := range []sample.Change{
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
		t.Run(c.With, func(t *testing.T) { is.New(t).True(sample.Refused(t, c, "rules", valid, decode).Got != "") })
	}
}

// FuzzDecode guards against a panic, and against a document that is accepted, encoded and then refused.
func FuzzDecode(f *testing.F) { sample.Fuzz(f, Decode, valid) }
