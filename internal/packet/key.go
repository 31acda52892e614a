package packet

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow in one direction; IPv4 addresses are stored in their IPv4-mapped IPv6 form.
type Key struct {
	Source, Destination         [16]byte
	SourcePort, DestinationPort uint16
	Protocol                    uint8
}

// NewKey returns the key of a flow of the given protocol from source to destination.
func NewKey(protocol uint8, source, destination netip.AddrPort) Key {
	return Key{
		Source: source.Addr().As16(), Destination: destination.Addr().As16(),
		SourcePort: source.Port(), DestinationPort: destination.Port(), Protocol: protocol,
	}
}

// Reverse returns the key of the opposite direction.
func (k Key) Reverse() Key {
	k.Source, k.Destination = k.Destination, k.Source
	k.SourcePort, k.DestinationPort = k.DestinationPort, k.SourcePort
	return k
}

// Hash returns a 64-bit hash of the key that is the same in every process.
func (k *Key) Hash() uint64 {
	var b [37]byte
	copy(b[0:], k.Source[:])
	copy(b[16:], k.Destination[:])
	binary.BigEndian.PutUint16(b[32:], k.SourcePort)
	binary.BigEndian.PutUint16(b[34:], k.DestinationPort)
	b[36] = k.Protocol
	return xxhash.Sum64(b[:])
}

// SourceAddr returns the source address and port.
func (k Key) SourceAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Source).Unmap(), k.SourcePort)
}

// DestinationAddr returns the destination address and port.
func (k Key) DestinationAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Destination).Unmap(), k.DestinationPort)
}

// String returns the key as protocol/source>destination.
func (k Key) String() string {
	name := fmt.Sprint(k.Protocol)
	switch k.Protocol {
	case TCP:
		name = "tcp"
	case UDP:
		name = "udp"
	}
	return fmt.Sprintf("%s/%s>%s", name, k.SourceAddr(), k.DestinationAddr())
}
