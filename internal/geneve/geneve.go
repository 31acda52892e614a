package geneve

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/juju/errors"
)

// Directions of the packet inside an encapsulation.
const (
	ToService = 1 // from a caller to a service
	ToCaller  = 2 // from a backend server to a caller
)

// HeaderSize is the number of bytes that the encapsulation adds before the IP packet.
const HeaderSize = 8

// HostOptionSize is the number of bytes that the host option adds between entry VMs.
const HostOptionSize = 20

// The host option carries the IP address of the host that sent a return packet. Its class is in the range for
// experiments.
const (
	hostOptionClass = 0xff01
	hostOptionType  = 1
)

// ErrForeign is returned for a datagram that is not an encapsulation of this system.
const ErrForeign = errors.ConstError("foreign")

const optionLengthMask = 0x3f // bits of the first byte that hold the length of the options in units of 4 bytes

// Codec decodes encapsulations and reuses its buffers; the zero value is ready for use.
type Codec struct {
	// Direction is ToService or ToCaller, as of the last Decode.
	Direction int
	// Hops is the number of times that an entry VM forwarded the packet to another, as of the last Decode.
	Hops int
	// Host is the address in the host option, as of the last Decode; it is invalid without that option.
	Host netip.Addr

	header      layers.Geneve
	fixedHeader [HeaderSize]byte
}

// Decode returns the IP packet inside datagram and sets Direction, Hops and Host. Its only error is ErrForeign.
func (c *Codec) Decode(datagram []byte) ([]byte, error) {
	if len(datagram) <= HeaderSize {
		return nil, ErrForeign
	}
	inner, err := c.decodeOption(datagram)
	if err != nil {
		return nil, err
	}
	// gopacket decodes only the fixed header, because its option decoder allocates.
	copy(c.fixedHeader[:], datagram)
	c.fixedHeader[0] &^= optionLengthMask
	if err := c.header.DecodeFromBytes(c.fixedHeader[:], gopacket.NilDecodeFeedback); err != nil {
		return nil, ErrForeign
	}
	if c.header.Version != 0 || c.header.OAMPacket || c.header.CriticalOption {
		return nil, ErrForeign
	}
	if c.header.Protocol != layers.EthernetTypeIPv4 && c.header.Protocol != layers.EthernetTypeIPv6 {
		return nil, ErrForeign
	}
	c.Direction = int(c.header.VNI & 0xff)
	c.Hops = int(c.header.VNI >> 8 & 0xff)
	if c.Direction != ToService && c.Direction != ToCaller || c.header.VNI>>16 != 0 {
		return nil, ErrForeign
	}
	return inner, nil
}

// decodeOption sets Host and returns the bytes after the options. It accepts no options or the host option alone.
func (c *Codec) decodeOption(datagram []byte) ([]byte, error) {
	c.Host = netip.Addr{}
	switch datagram[0] & optionLengthMask {
	case 0:
		return datagram[HeaderSize:], nil
	case HostOptionSize / 4:
	default:
		return nil, ErrForeign
	}
	if len(datagram) <= HeaderSize+HostOptionSize {
		return nil, ErrForeign
	}
	option := datagram[HeaderSize : HeaderSize+HostOptionSize]
	if [4]byte(option) != hostOptionHeader {
		return nil, ErrForeign
	}
	c.Host = netip.AddrFrom16([16]byte(option[4:])).Unmap()
	return datagram[HeaderSize+HostOptionSize:], nil
}

var hostOptionHeader = [4]byte{hostOptionClass >> 8, hostOptionClass & 0xff, hostOptionType, (HostOptionSize - 4) / 4}

// Append appends the encapsulation of the IP packet inner to dst. A valid host is added as the host option.
func Append(dst, inner []byte, direction, hops int, host netip.Addr) []byte {
	header := [HeaderSize]byte{2: 0x08, 5: uint8(hops), 6: uint8(direction)}
	if len(inner) > 0 && inner[0]>>4 == 6 {
		header[2], header[3] = 0x86, 0xdd
	}
	if !host.IsValid() {
		return append(append(dst, header[:]...), inner...)
	}
	header[0] = HostOptionSize / 4
	address := host.As16()
	dst = append(append(dst, header[:]...), hostOptionHeader[:]...)
	return append(append(dst, address[:]...), inner...)
}
