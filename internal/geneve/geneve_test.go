package geneve

import (
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
)

// Guards against a header that differs from what the library codec writes, and against lost fields.
func TestAppendMatchesLibraryCodec(t *testing.T) {
	is := is.New(t)
	for _, inner := range [][]byte{{0x45, 1, 2}, {0x60, 3, 4}} {
		protocol := layers.EthernetTypeIPv4
		if inner[0] == 0x60 {
			protocol = layers.EthernetTypeIPv6
		}
		b := gopacket.NewSerializeBuffer()
		header := layers.Geneve{Protocol: protocol, VNI: 1<<8 | ToCaller}
		is.NoErr(gopacket.SerializeLayers(b, gopacket.SerializeOptions{}, &header, gopacket.Payload(inner)))
		datagram := Append(nil, inner, ToCaller, 1)
		is.Equal(datagram, b.Bytes())
		var c Codec
		got, err := c.Decode(datagram)
		is.NoErr(err)
		is.Equal(got, inner)
		is.Equal([2]int{c.Direction, c.Hops}, [2]int{ToCaller, 1})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Append(nil, []byte{0x45, 0}, ToService, 0))
	f.Add([]byte{0x3f, 0, 8, 0, 0, 0, 1, 0, 1})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var c Codec
		inner, err := c.Decode(datagram)
		if err == nil && len(inner) != len(datagram)-HeaderSize {
			t.Fatalf("inner has %d bytes of a datagram of %d", len(inner), len(datagram))
		}
	})
}
