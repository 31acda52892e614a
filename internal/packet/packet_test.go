package packet

import (
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func key(protocol uint8, v6 bool) Key {
	if v6 {
		return NewKey(protocol, netip.MustParseAddrPort("[2001:db8::1]:4000"), netip.MustParseAddrPort("[2001:db8::2]:443"))
	}
	return NewKey(protocol, netip.MustParseAddrPort("192.0.2.1:4000"), netip.MustParseAddrPort("198.51.100.1:443"))
}

func build(t testing.TB, s Segment) []byte {
	t.Helper()
	b, err := s.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a field that is lost between building and reading a packet.
func TestParseReadsWhatSegmentBuilds(t *testing.T) {
	is := is.New(t)
	for _, v6 := range []bool{false, true} {
		s := Segment{Key: key(TCP, v6), Seq: 7, Ack: 9, ACK: true, FIN: true, Payload: []byte("abc")}
		var p Packet
		is.NoErr(p.Parse(build(t, s)))
		is.Equal(p.Key, s.Key)
		is.Equal(p.Payload, s.Payload)
		is.Equal([]any{p.Seq, p.Ack, p.ACK, p.FIN, p.SYN, p.RST}, []any{uint32(7), uint32(9), true, true, false, false})
		is.Equal(p.End(), uint32(11))

		u := Segment{Key: key(UDP, v6), Payload: []byte("datagram")}
		is.NoErr(p.Parse(build(t, u)))
		is.Equal(p.Key, u.Key)
		is.Equal(p.Payload, u.Payload)
	}
}

// Guards against invalid packets being accepted.
func TestParseRejectsInvalidPackets(t *testing.T) {
	is := is.New(t)
	valid := build(t, Segment{Key: key(TCP, false), SYN: true})
	fragment := append([]byte(nil), valid...)
	fragment[6] |= 0x20
	p := Packet{MTU: 1440}
	is.Equal(p.Parse(valid[:len(valid)-1]), error(ErrTruncated))
	is.Equal(p.Parse(nil), error(ErrTruncated))
	is.Equal(p.Parse(fragment), error(ErrFragment))
	is.Equal(p.Parse(make([]byte, 1441)), error(ErrOversized))
	is.True(errors.Is(p.Parse([]byte{0x10}), ErrForeign))
}

// Guards against allocations for each packet on the data path.
func TestParseDoesNotAllocate(t *testing.T) {
	for _, v6 := range []bool{false, true} {
		b := build(t, Segment{Key: key(TCP, v6), ACK: true, Payload: make([]byte, 100)})
		var p Packet
		if n := testing.AllocsPerRun(1000, func() { _ = p.Parse(b); _ = p.Key.Hash() }); n != 0 {
			t.Errorf("v6=%v: %v allocations for each packet, want 0", v6, n)
		}
	}
}

// BenchmarkParse reports the time to parse a packet and to hash its key.
func BenchmarkParse(b *testing.B) {
	data := build(b, Segment{Key: key(TCP, false), ACK: true, Payload: make([]byte, 100)})
	var p Packet
	b.ReportAllocs()
	for b.Loop() {
		_ = p.Parse(data)
		_ = p.Key.Hash()
	}
}

// Guards against a panic on any bytes, and against a payload that is not shorter than its packet.
func FuzzParse(f *testing.F) {
	f.Add(build(f, Segment{Key: key(TCP, false), SYN: true}))
	f.Add(build(f, Segment{Key: key(UDP, true), Payload: []byte("x")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		p := Packet{MTU: 1440}
		if err := p.Parse(b); err == nil && len(p.Payload) >= len(b) {
			t.Fatalf("payload of %d bytes in a packet of %d bytes, want it shorter", len(p.Payload), len(b))
		}
	})
}
