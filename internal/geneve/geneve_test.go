package geneve

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
)

// Guards against a header that differs from what the library codec writes, and against lost fields.
func TestAppendMatchesLibraryCodec(t *testing.T) {
	is := is.New(t)
	host := netip.MustParseAddr("127.1.0.5")
	address := host.As16()
	for _, inner := range [][]byte{{0x45, 1, 2}, {0x60, 3, 4}} {
		for _, h := range []netip.Addr{{}, host} {
			header := layers.Geneve{Protocol: layers.EthernetTypeIPv4, VNI: 1<<8 | ToCaller}
			if inner[0] == 0x60 {
				header.Protocol = layers.EthernetTypeIPv6
			}
			if h.IsValid() {
				header.Options = []*layers.GeneveOption{{
					Class: hostOptionClass, Type: hostOptionType, Length: 20, Data: address[:],
				}}
			}
			b := gopacket.NewSerializeBuffer()
			is.NoErr(gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true}, &header, gopacket.Payload(inner)))
			datagram := Append(nil, inner, ToCaller, 1, h)
			is.Equal(datagram, b.Bytes())
			var c Codec
			got, err := c.Decode(datagram)
			is.NoErr(err)
			is.Equal(got, inner)
			is.Equal(c.Host, h)
			is.Equal([2]int{c.Direction, c.Hops}, [2]int{ToCaller, 1})
		}
	}
}

// Guards against allocations for each packet on the data path.
func TestDecodeDoesNotAllocate(t *testing.T) {
	datagram := Append(nil, make([]byte, 100), ToCaller, 1, netip.MustParseAddr("127.1.0.5"))
	var c Codec
	if n := testing.AllocsPerRun(1000, func() { _, _ = c.Decode(datagram) }); n != 0 {
		t.Errorf("%v allocations for each packet, want 0", n)
	}
}

// Guards against a panic on any datagram, and against an IP packet that is not shorter than its encapsulation.
func FuzzDecode(f *testing.F) {
	f.Add(Append(nil, []byte{0x45, 0}, ToService, 0, netip.Addr{}))
	f.Add(Append(nil, []byte{0x45, 0}, ToCaller, 1, netip.MustParseAddr("127.1.0.5")))
	f.Add([]byte{0x3f, 0, 8, 0, 0, 0, 1, 0, 1})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var c Codec
		inner, err := c.Decode(datagram)
		if err == nil && len(inner) >= len(datagram) {
			t.Fatalf("IP packet of %d bytes in a datagram of %d bytes, want it shorter", len(inner), len(datagram))
		}
	})
}
