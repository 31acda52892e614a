package sizing

import (
	"net/netip"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/packet"
)

// traffic opens flows that stay open, each with one request and one response. Callers and hosts are simulated without
// state: each of their segments is derived from the segment that it replies to.
type traffic struct {
	perVM        float64 // new flows per VM per second
	pendingFlows float64 // flows due to be opened; a fraction is carried over to the next step
	openedFlows  int     // flows opened so far; each gets its number as its caller address and port
}

// datagram is a datagram for a VM; fromPeer reports whether another VM forwarded it.
type datagram struct {
	due      time.Duration
	source   netip.AddrPort
	fromPeer bool
	body     []byte
}

// dataSockets simulates the data sockets of a VM.
type dataSockets struct {
	inbox     []datagram
	forwarded []struct {
		to netip.AddrPort
		datagram
	}
	view  packet.Packet
	codec geneve.Codec
}

// responseTime is the time from a request to the response of a host.
const responseTime = 40 * time.Millisecond

// open adds the SYNs of the flows that open in a step to the inboxes of random VMs.
func (t *traffic) open(n *network, now time.Duration) {
	for t.pendingFlows += t.perVM * float64(n.size) * n.step.Seconds(); t.pendingFlows >= 1; t.pendingFlows-- {
		t.openedFlows++
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(t.openedFlows >> 8), byte(t.openedFlows)}), uint16(1024+t.openedFlows>>16))
		key := packet.NewKey(packet.TCP, caller, listener(n.random.IntN(n.services)))
		v := n.vms[n.random.IntN(len(n.vms))]
		v.sockets.inbox = append(v.sockets.inbox, datagram{
			due: now, source: caller, body: encapsulate(packet.Segment{Key: key, Seq: 1000, SYN: true}, geneve.ToService),
		})
	}
}

func encapsulate(s packet.Segment, direction int) []byte {
	inner, err := s.Bytes()
	if err != nil {
		panic(err) // cannot happen: the keys are those of IPv4 packets
	}
	return geneve.Append(nil, inner, direction, 0, netip.Addr{})
}

// connect sets the callbacks of the engine. Replies of hosts and callers are received by the same VM.
func (p *dataSockets) connect(v *vm) {
	p.view.MTU = 1440
	now := func() time.Duration { return v.now }
	v.ToHost = func(to netip.AddrPort, b []byte, _ uint64) { p.respond(now()+localDelay, to, b, geneve.ToCaller) }
	v.ToFabric = func(b []byte, _ uint64) { p.respond(now()+localDelay, netip.AddrPort{}, b, geneve.ToService) }
	v.ToPeer = func(to netip.AddrPort, b []byte, _ uint64) {
		p.forwarded = append(p.forwarded, struct {
			to netip.AddrPort
			datagram
		}{to, datagram{now() + localDelay, v.Self.Data, true, slices.Clone(b)}})
	}
}

// respond adds the reply of a host or caller to the inbox, if the segment gets one.
func (p *dataSockets) respond(due time.Duration, from netip.AddrPort, b []byte, direction int) {
	inner, err := p.codec.Decode(b)
	if err != nil || p.view.Parse(inner) != nil {
		panic("an engine sent a malformed packet")
	}
	w := &p.view
	reply := packet.Segment{Key: w.Key.Reverse(), Seq: w.Ack, Ack: w.Seq + uint32(len(w.Payload)), ACK: true}
	switch {
	case w.RST:
		return
	case w.SYN && direction == geneve.ToCaller:
		reply.SYN, reply.Seq, reply.Ack = true, 5000, w.Seq+1
	case w.SYN:
		reply.Ack, reply.Payload = w.Seq+1, make([]byte, 100)
		from = w.Key.DestinationAddr()
	case len(w.Payload) > 0 && direction == geneve.ToCaller:
		due += responseTime
		reply.Payload = make([]byte, 200)
	default:
		return // The flow is complete, or the segment needs no reply.
	}
	p.inbox = append(p.inbox, datagram{due: due, source: from, body: encapsulate(reply, direction)})
}

func (p *dataSockets) handle(v *vm, now time.Duration) {
	v.now = now
	inbox := p.inbox
	p.inbox = nil
	for _, d := range inbox {
		if d.due > now {
			p.inbox = append(p.inbox, d)
			continue
		}
		v.HandleDatagram(now, d.source, d.fromPeer, d.body)
	}
}

// deliverForwarded delivers the datagrams that the VM forwarded to owners.
func (p *dataSockets) deliverForwarded(n *network) {
	for _, f := range p.forwarded {
		control := netip.AddrPortFrom(f.to.Addr(), 7000)
		if to := n.byAddress[control]; to != nil && !to.dead {
			to.sockets.inbox = append(to.sockets.inbox, f.datagram)
		}
	}
	p.forwarded = p.forwarded[:0]
}
