package loadreport

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

func sample() *Message {
	return &Message{
		From: "entry-1", Session: math.MaxUint64, Sequence: 1 << 40, Requests: math.MaxUint16,
		Servers: []Server{
			{Token: 7, ResponseTime: 1, Samples: 1},
			{Token: math.MaxUint32, ResponseTime: maxResponse, Samples: 255, Outstanding: 255, Failures: 24, Age: maxAge},
		},
	}
}

// Guards against reports that exceed a datagram or the budget because their size was underestimated.
func TestSizeIsExact(t *testing.T) {
	is := is.New(t)
	m := sample()
	m.From = strings.Repeat("n", maxNameBytes)
	size := m.headerBytes(len(m.Servers))
	for i := range m.Servers {
		size += m.Servers[i].bytes()
	}
	b, err := Encode(m)
	is.NoErr(err)
	is.Equal(len(b), size)
	got, err := Decode(b)
	is.NoErr(err)
	is.Equal(got, m)
}

// Guards against reports that are accepted although no sender writes them.
func TestDecodeRefusesMalformedReport(t *testing.T) {
	for name, change := range map[string]func(m *Message){
		"no sender":         func(m *Message) { m.From = "" },
		"long sender":       func(m *Message) { m.From = strings.Repeat("n", maxNameBytes+1) },
		"no servers":        func(m *Message) { m.Servers = nil },
		"token 0":           func(m *Message) { m.Servers[0].Token = 0 },
		"repeated token":    func(m *Message) { m.Servers[0].Token = m.Servers[1].Token },
		"response time":     func(m *Message) { m.Servers[0].ResponseTime = maxResponse + 1 },
		"no response time":  func(m *Message) { m.Servers[0].ResponseTime = 0 },
		"no samples":        func(m *Message) { m.Servers[0].Samples = 0 },
		"age":               func(m *Message) { m.Servers[0].Age = maxAge + 1 },
		"number of servers": func(m *Message) { m.Servers = make([]Server, maxServers+1) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := sample()
			change(m)
			b, err := Encode(m)
			is.NoErr(err)
			_, err = Decode(b)
			is.True(err != nil)
		})
	}
	valid := []any{7, 1, 1, 0, 0, 0}
	for name, servers := range map[string]any{
		"valid":          []any{valid},
		"short server":   []any{valid[:5]},
		"long server":    []any{append(valid[:6:6], 0)},
		"negative":       []any{[]any{7, 1, 1, -1, 0, 0}},
		"count":          []any{[]any{7, 1, 1, 256, 0, 0}},
		"token":          []any{[]any{1 << 32, 1, 1, 0, 0, 0}},
		"nested":         []any{[]any{7, 1, 1, []any{0}, 0, 0}},
		"map":            []any{map[int]int{1: 1}},
		"floating point": []any{[]any{7, 1.5, 1, 0, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := cbor.Marshal(map[int]any{1: "entry-1", 2: 1, 3: 1, 4: servers, 5: 0})
			is.NoErr(err)
			_, err = Decode(b)
			is.Equal(err == nil, name == "valid")
		})
	}
	is := is.New(t)
	b, err := Encode(sample())
	is.NoErr(err)
	_, err = Decode(append(b, 0))
	is.True(err != nil) // Trailing byte.
	_, err = Decode(make([]byte, maxMessageBytes+1))
	is.True(err != nil)
}

// FuzzDecode guards against input that crashes the decoder or Handle, and against messages that change when they are
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	b, err := Encode(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		once, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(once)
		if err != nil {
			t.Fatal(err)
		}
		if twice, _ := Encode(again); !bytes.Equal(once, twice) {
			t.Fatalf("encoding and decoding %x returned %x, want it unchanged", once, twice)
		}
		x := Exchange{Self: "self", AvailabilityZone: "z"}
		x.SetMembers(zoneOf("z", "self", m.From))
		x.Handle(0, m)
		for _, s := range m.Servers {
			if e, ok := x.Estimate(0, s.Token); ok && !plausible(e) {
				t.Fatalf("estimate %+v from %+v", e, s)
			}
		}
	})
}
