package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/juju/errors"
)

// Errors of Parse. Their text is the reason in the name of the drop counter.
const (
	ErrTruncated = errors.ConstError("truncated")
	ErrOversized = errors.ConstError("oversized")
	ErrFragment  = errors.ConstError("fragment")
	ErrForeign   = errors.ConstError("foreign")
)

// Protocol numbers of IP.
const (
	TCP = 6
	UDP = 17
)

const ipv6FragmentHeader = 44 // value of the IPv6 next header field

// Packet is a view of one IP packet. The zero value is ready for Parse, and a Packet can be reused for another packet.
type Packet struct {
	// MTU is the maximum size of the IP packet in bytes; zero accepts any size.
	MTU int

	// Key identifies the flow in the direction of this packet.
	Key Key
	// Bytes is the whole IP packet.
	Bytes []byte
	// Payload is the data after the TCP or UDP header.
	Payload []byte
	// Seq and Ack are the TCP sequence and acknowledgement numbers.
	Seq, Ack uint32
	// SYN, ACK, FIN and RST are the TCP flags; they are false for UDP.
	SYN, ACK, FIN, RST bool

	v4  layers.IPv4
	v6  layers.IPv6
	tcp layers.TCP
	udp layers.UDP
}

// Parse decodes the IP packet b and keeps a reference to it. It returns ErrOversized for a packet above the MTU,
// ErrTruncated if a header is invalid or the length does not match, ErrFragment for a fragment and ErrForeign for
// anything but TCP or UDP directly after an IP header.
func (p *Packet) Parse(b []byte) error {
	p.Bytes = b
	if p.MTU > 0 && len(b) > p.MTU {
		return ErrOversized
	}
	if len(b) == 0 {
		return ErrTruncated
	}
	switch b[0] >> 4 {
	case 4:
		return p.parseV4(b)
	case 6:
		return p.parseV6(b)
	}
	return ErrForeign
}

func (p *Packet) parseV4(b []byte) error {
	// The decoder shortens or accepts packets whose total length does not match, so lengths are checked first.
	if len(b) < 20 || int(b[0]&0xf)*4 < 20 || len(b) < int(b[0]&0xf)*4 || int(b[2])<<8|int(b[3]) != len(b) {
		return ErrTruncated
	}
	if err := p.v4.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return ErrTruncated
	}
	if p.v4.Flags&layers.IPv4MoreFragments != 0 || p.v4.FragOffset != 0 {
		return ErrFragment
	}
	p.Key.Source = netip.AddrFrom4([4]byte(p.v4.SrcIP)).As16()
	p.Key.Destination = netip.AddrFrom4([4]byte(p.v4.DstIP)).As16()
	return p.parseTransport(uint8(p.v4.Protocol), p.v4.Payload)
}

func (p *Packet) parseV6(b []byte) error {
	if len(b) < 40 || 40+int(b[4])<<8+int(b[5]) != len(b) {
		return ErrTruncated
	}
	// Extension headers are rejected before decoding, because their decoder allocates.
	switch b[6] {
	case TCP, UDP:
	case ipv6FragmentHeader:
		return ErrFragment
	default:
		return ErrForeign
	}
	if err := p.v6.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return ErrTruncated
	}
	p.Key.Source = [16]byte(p.v6.SrcIP)
	p.Key.Destination = [16]byte(p.v6.DstIP)
	return p.parseTransport(uint8(p.v6.NextHeader), p.v6.Payload)
}

func (p *Packet) parseTransport(protocol uint8, b []byte) error {
	p.Key.Protocol = protocol
	p.Seq, p.Ack = 0, 0
	p.SYN, p.ACK, p.FIN, p.RST = false, false, false, false
	switch protocol {
	case TCP:
		if err := p.tcp.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
			return ErrTruncated
		}
		p.Key.SourcePort, p.Key.DestinationPort = uint16(p.tcp.SrcPort), uint16(p.tcp.DstPort)
		p.Seq, p.Ack = p.tcp.Seq, p.tcp.Ack
		p.SYN, p.ACK, p.FIN, p.RST = p.tcp.SYN, p.tcp.ACK, p.tcp.FIN, p.tcp.RST
		p.Payload = p.tcp.Payload
		return nil
	case UDP:
		if err := p.udp.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
			return ErrTruncated
		}
		p.Key.SourcePort, p.Key.DestinationPort = uint16(p.udp.SrcPort), uint16(p.udp.DstPort)
		p.Payload = p.udp.Payload
		return nil
	}
	return ErrForeign
}

// End returns the sequence number that follows this TCP segment.
func (p *Packet) End() uint32 {
	end := p.Seq + uint32(len(p.Payload))
	if p.SYN {
		end++
	}
	if p.FIN {
		end++
	}
	return end
}

// Refusal returns the reset that refuses a SYN. Its sequence number is zero, so that only a caller that still waits for
// a SYN-ACK accepts it.
func (p *Packet) Refusal() Segment {
	return Segment{Key: p.Key.Reverse(), Ack: p.End(), RST: true, ACK: true}
}
