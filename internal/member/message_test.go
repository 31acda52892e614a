package member

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

func sample() Message {
	long := Member{
		Name: strings.Repeat("n", maxName), Zone: strings.Repeat("z", maxName), Region: strings.Repeat("r", maxName),
		Size: 1<<32 - 1, Control: netip.MustParseAddrPort("[2001:db8::1]:65535"),
		Data: netip.MustParseAddrPort("[2001:db8::2]:65535"), Incarnation: maxIncarnation, State: StateDead,
	}
	return Message{
		Kind: PingRequest, Sequence: 1<<64 - 1, From: long, Target: &long, After: long.Name, More: true,
		Digests: []Digest{{Kind: strings.Repeat("k", maxDigestName), Version: 1<<64 - 1, Hash: make([]byte, maxDigestHash)}},
	}
}

// Guards against messages that exceed a datagram because their size was underestimated.
func TestEncodedSizeIsAnUpperBound(t *testing.T) {
	is := is.New(t)
	m := sample()
	data, err := Encode(m)
	is.NoErr(err)
	is.True(len(data) <= m.encodedSize())
	is.True(m.encodedSize() < len(data)+40)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, m)
}

// Guards against malformed messages that are accepted.
func TestDecodeRefusesMalformedMessage(t *testing.T) {
	good := Message{Kind: Ping, From: Member{Name: "a", Control: netip.MustParseAddrPort("127.0.0.1:1")}}
	for name, change := range map[string]func(m *Message){
		"kind":        func(m *Message) { m.Kind = 0 },
		"target":      func(m *Message) { m.Target = &m.From },
		"no target":   func(m *Message) { m.Kind = PingRequest },
		"name":        func(m *Message) { m.From.Name = "" },
		"state":       func(m *Message) { m.From.State = StateDead + 1 },
		"incarnation": func(m *Message) { m.From.Incarnation = maxIncarnation + 1 },
		"address":     func(m *Message) { m.From.Control = netip.AddrPort{} },
		"update":      func(m *Message) { m.Updates = []Member{{}} },
		"updates":     func(m *Message) { m.Updates = repeat(m.From, maxUpdates+1) },
		"digests":     func(m *Message) { m.Digests = make([]Digest, maxDigests+1) },
		"digest hash": func(m *Message) { m.Digests = []Digest{{Hash: make([]byte, maxDigestHash+1)}} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := good
			change(&m)
			data, err := Encode(m)
			is.NoErr(err)
			_, err = Decode(data)
			is.True(err != nil)
		})
	}
	is := is.New(t)
	data, _ := cbor.Marshal(map[int]any{1: 1, 99: 1})
	_, err := Decode(data)
	is.True(err != nil) // Unknown field.
	valid, _ := Encode(good)
	_, err = Decode(append(valid, 0))
	is.True(err != nil) // Trailing bytes.
	_, err = Decode(append([]byte{0xa2, 1, 1, 1}, valid[2:]...))
	is.True(err != nil) // Duplicate key.
}

func repeat(m Member, n int) []Member {
	all := make([]Member, n)
	for i := range all {
		all[i] = m
	}
	return all
}

// FuzzDecode guards against input that crashes the decoder, and against messages that change when they are encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	data, _ := Encode(sample())
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		once, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		redecoded, err := Decode(once)
		if err != nil {
			t.Fatal(err)
		}
		if twice, _ := Encode(redecoded); !bytes.Equal(once, twice) {
			t.Fatalf("encoding and decoding %x returned %x, want it unchanged", once, twice)
		}
	})
}
