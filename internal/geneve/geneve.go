package geneve

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/juju/errors"
)

// Direction of the packet inside an encapsulation.
const (
	ToService = 1 // from a caller to a service
	ToCaller  = 2 // from a backend server to a caller
)

// HeaderSize is the number of bytes that the encapsulation adds before the IP packet.
const HeaderSize = 8

// ErrForeign says that a datagram is not an encapsulation of this system.
const ErrForeign = errors.ConstError("foreign datagram")

const optionLengthMask = 0x3f

// Codec reads and writes encapsulations; the zero value is ready and reuses its buffers.
type Codec struct {
	// Direction is ToService or ToCaller, as of the last Decode.
	Direction int
	// Hops counts the entry VMs that passed the packet on, as of the last Decode.
	Hops int

	header layers.Geneve
}

// Decode returns the IP packet inside datagram and sets Direction and Hops.
func (c *Codec) Decode(datagram []byte) ([]byte, error) {
	// Options are refused before decoding, so that the decoder does not allocate.
	if len(datagram) <= HeaderSize || datagram[0]&optionLengthMask != 0 {
		return nil, ErrForeign
	}
	if err := c.header.DecodeFromBytes(datagram, gopacket.NilDecodeFeedback); err != nil {
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
	return c.header.Payload, nil
}

// Append appends the encapsulation of the IP packet inner to dst.
func Append(dst, inner []byte, direction, hops int) []byte {
	header := [HeaderSize]byte{2: 0x08, 5: uint8(hops), 6: uint8(direction)}
	if len(inner) > 0 && inner[0]>>4 == 6 {
		header[2], header[3] = 0x86, 0xdd
	}
	return append(append(dst, header[:]...), inner...)
}
