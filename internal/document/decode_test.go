package document

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

type item struct {
	Address netip.AddrPort `json:"address"`
	Wait    Duration       `json:"wait"`
	Slots   int            `json:"slots"`
	Started time.Time      `json:"started"`
	Share   float64        `json:"share"`
}

func (i *item) SetDefaults() { i.Slots = 2 }

type sample struct {
	Version uint64 `json:"version"`
	On      bool   `json:"on"`
	Items   []item `json:"items"`
}

// Guards against input that encoding/json accepts but a published document must not contain, and against errors that do
// not name the faulty field.
func TestDecodeRefuses(t *testing.T) {
	for text, want := range map[string]string{
		`{"items":[{},{"slots":"2"}]}`:     `test: items[1].slots: must be an integer, got "2"`,
		`{"items":[{"slots":1.5}]}`:        `test: items[0].slots: must be an integer, got 1.5`,
		`{"items":[{"share":1e999}]}`:      `test: items[0].share: must be a number, got 1e999`,
		`{"items":[{"address":""}]}`:       `test: items[0].address: must be an "ip:port", got ""`,
		`{"items":[{"wait":5}]}`:           `test: items[0].wait: must be a duration such as "250ms", "30s" or "1h", got 5`,
		`{"items":[{"started":"monday"}]}`: `test: items[0].started: must be an RFC 3339 time, got "monday"`,
		`{"items":{}}`:                     `test: items: must be a list, got an object`,
		`{"items":null}`:                   `test: items: must be a list, got null`,
		`{"version":-1}`:                   `test: version: must be a non-negative integer, got -1`,
		`{"on":1}`:                         `test: on: must be true or false, got 1`,
		`{"Version":1}`:                    `test: Version: must be one of the fields version, on, items, got an unknown field`,
		`{"version":1,"version":2}`:        `test: version: must be given once, got the field again`,
		`{"version":1}{}`:                  `test: document: must be one JSON value, got invalid character '{' after top-level value`,
		`[]`:                               `test: document: must be an object, got a list`,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			var s sample
			err := Decode("test", []byte(text), &s)
			is.True(err != nil)
			is.Equal(err.Error(), want)
		})
	}
}

// Guards against a field that is not decoded and against a default that overwrites a value of the document.
func TestDecodeReadsAllFields(t *testing.T) {
	is := is.New(t)
	var s sample
	is.NoErr(Decode("test", []byte(`{"version":9007199254740992,"on":true,"items":[{},{"address":"[::1]:7","wait":"2s","slots":0,
		"started":"2026-01-02T03:04:05Z","share":0.5}]}`), &s))
	is.Equal(s, sample{Version: 1 << 53, On: true, Items: []item{{Slots: 2}, {
		Address: netip.MustParseAddrPort("[::1]:7"), Wait: Duration(2 * time.Second),
		Started: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), Share: 0.5,
	}}})
}
