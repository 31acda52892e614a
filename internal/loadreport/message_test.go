package loadreport

import (
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// Guards against reports that are accepted although no sender writes them.
func TestDecodeRefusesMalformedReport(t *testing.T) {
	servers := func(n int, v ...any) (list []any) {
		for token := range n {
			list = append(list, append([]any{token + 1}, v...))
		}
		return list
	}
	one := func(v ...any) []any { return []any{v} }
	for _, c := range []struct {
		name    string
		valid   bool
		from    string
		servers any
	}{
		{"valid", true, "entry-1", servers(1, 1, 1, 0, 0, 0)},
		{"greatest number of servers", true, strings.Repeat("n", maxNameBytes), servers(maxServers, 1, 1, 0, 0, 0)},
		{"too many servers", false, "entry-1", servers(maxServers+1, 1, 1, 0, 0, 0)},
		{"size", false, "entry-1", servers(maxServers, maxResponse, 255, 255, 255, maxAge)},
		{"no sender", false, "", servers(1, 1, 1, 0, 0, 0)},
		{"long sender", false, strings.Repeat("n", maxNameBytes+1), servers(1, 1, 1, 0, 0, 0)},
		{"no servers", false, "entry-1", servers(0)},
		{"token 0", false, "entry-1", one(0, 1, 1, 0, 0, 0)},
		{"repeated token", false, "entry-1", append(one(7, 1, 1, 0, 0, 0), one(7, 1, 1, 0, 0, 0)...)},
		{"response time", false, "entry-1", one(7, maxResponse+1, 1, 0, 0, 0)},
		{"no response time", false, "entry-1", one(7, 0, 1, 0, 0, 0)},
		{"no samples", false, "entry-1", one(7, 1, 0, 0, 0, 0)},
		{"age", false, "entry-1", one(7, 1, 1, 0, 0, maxAge+1)},
		{"short server", false, "entry-1", one(7, 1, 1, 0, 0)},
		{"long server", false, "entry-1", one(7, 1, 1, 0, 0, 0, 0)},
		{"negative", false, "entry-1", one(7, 1, 1, -1, 0, 0)},
		{"count", false, "entry-1", one(7, 1, 1, 256, 0, 0)},
		{"token", false, "entry-1", one(1<<32, 1, 1, 0, 0, 0)},
		{"floating point", false, "entry-1", one(7, 1.5, 1, 0, 0, 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, err := cbor.Marshal(map[int]any{1: c.from, 2: 1, 3: 1, 4: c.servers, 5: 0})
			is.NoErr(err)
			_, err = Decode(b)
			is.Equal(err == nil, c.valid)
			_, err = Decode(append(b, 0))
			is.True(err != nil) // Trailing byte.
		})
	}
}

// FuzzDecode guards against input that crashes the decoder or Handle, against messages that change when they are encoded
// and decoded again, and against reports that exceed the budget because their size was underestimated.
func FuzzDecode(f *testing.F) {
	b, err := Encode(&Message{
		From: strings.Repeat("n", maxNameBytes), Session: math.MaxUint64, Sequence: 1 << 40, Requests: math.MaxUint16,
		Servers: []Server{
			{Token: 7, ResponseTime: 1, Samples: 1},
			{Token: math.MaxUint32, ResponseTime: maxResponse, Samples: 255, Outstanding: 255, Failures: 24, Age: maxAge},
		},
	})
	is.New(f).NoErr(err)
	f.Add(b)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		m, err := Decode(b)
		if err != nil {
			return
		}
		size := m.headerBytes(len(m.Servers))
		for i := range m.Servers {
			size += m.Servers[i].bytes()
		}
		once, err := Encode(m)
		is.NoErr(err)
		is.Equal(len(once), size)
		if size > maxMessageBytes {
			return // Encode writes fields that b omits.
		}
		again, err := Decode(once)
		is.NoErr(err)
		is.Equal(again, m)
		x, names := newReceiver(1)
		m.From = names[0]
		x.Handle(0, m)
		for _, s := range m.Servers {
			e, _ := x.Estimate(0, s.Token)
			is.True(plausible(e))
		}
	})
}
