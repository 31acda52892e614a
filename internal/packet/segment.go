package packet

import (
	"net"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/juju/errors"
)

const (
	hopLimit      = 64
	receiveWindow = 65535 // bytes; the largest window without the window scale option
)

// Segment describes a TCP segment or UDP datagram to build.
type Segment struct {
	// Key identifies the flow in the direction of the segment.
	Key Key
	// Seq and Ack are the TCP sequence and acknowledgement numbers.
	Seq, Ack uint32
	// SYN, ACK, FIN and RST are the TCP flags.
	SYN, ACK, FIN, RST bool
	// Payload is the data after the transport header.
	Payload []byte
}

// Bytes returns the IP packet with its checksums.
func (s Segment) Bytes() ([]byte, error) {
	network, err := s.network()
	if err != nil {
		return nil, err
	}
	transport, err := s.transport(network)
	if err != nil {
		return nil, err
	}
	b := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b, options, network, transport, gopacket.Payload(s.Payload)); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

type networkLayer interface {
	gopacket.SerializableLayer
	gopacket.NetworkLayer
}

func (s Segment) network() (networkLayer, error) {
	source, destination := netip.AddrFrom16(s.Key.Source).Unmap(), netip.AddrFrom16(s.Key.Destination).Unmap()
	switch {
	case source.Is4() && destination.Is4():
		return &layers.IPv4{
			Version: 4, TTL: hopLimit, Protocol: layers.IPProtocol(s.Key.Protocol), Flags: layers.IPv4DontFragment,
			SrcIP: net.IP(source.AsSlice()), DstIP: net.IP(destination.AsSlice()),
		}, nil
	case source.Is6() && destination.Is6():
		return &layers.IPv6{
			Version: 6, HopLimit: hopLimit, NextHeader: layers.IPProtocol(s.Key.Protocol),
			SrcIP: net.IP(source.AsSlice()), DstIP: net.IP(destination.AsSlice()),
		}, nil
	}
	return nil, errors.NotValidf("address pair %s and %s", source, destination)
}

func (s Segment) transport(network gopacket.NetworkLayer) (gopacket.SerializableLayer, error) {
	switch s.Key.Protocol {
	case TCP:
		tcp := &layers.TCP{
			SrcPort: layers.TCPPort(s.Key.SourcePort), DstPort: layers.TCPPort(s.Key.DestinationPort),
			Seq: s.Seq, Ack: s.Ack, SYN: s.SYN, ACK: s.ACK, FIN: s.FIN, RST: s.RST,
			PSH: len(s.Payload) > 0, Window: receiveWindow,
		}
		return tcp, errors.Trace(tcp.SetNetworkLayerForChecksum(network))
	case UDP:
		udp := &layers.UDP{
			SrcPort: layers.UDPPort(s.Key.SourcePort), DstPort: layers.UDPPort(s.Key.DestinationPort),
		}
		return udp, errors.Trace(udp.SetNetworkLayerForChecksum(network))
	}
	return nil, errors.NotValidf("protocol %d", s.Key.Protocol)
}
