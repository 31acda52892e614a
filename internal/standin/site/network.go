package site

import (
	"net/netip"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/entry"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/member"
)

// Path is a directed path between two outer addresses.
type Path struct {
	// From and To are the outer source and destination.
	From, To netip.AddrPort
}

// link is the connection that carries messages from one entry VM to another.
type link struct {
	port            uint16
	blackholedSince time.Duration // time of the first message lost on a blackholed path; zero if there is none
}

// exchangeTimeout is the timeout of an exchange on a link. After it the sender dials again from a new local port.
const exchangeTimeout = 2 * time.Second

// platformZone is the name that stands for the platform in cuts. Its delay to each zone is that between two zones.
const platformZone = "platform"

// Cut cuts the network between two availability zones, in both directions.
func (s *Site) Cut(a, b string) { s.cut[[2]string{a, b}], s.cut[[2]string{b, a}] = true, true }

// Isolate cuts an availability zone off from all others and from the platform.
func (s *Site) Isolate(zone string) {
	for _, z := range append(slices.Clone(s.Config.Zones), platformZone) {
		if z != zone {
			s.Cut(zone, z)
		}
	}
}

// Heal removes all cuts.
func (s *Site) Heal() { clear(s.cut) }

// deliver calls f after the delay between two zones, unless the packet or message is lost.
func (s *Site) deliver(from, to string, loss float64, f func()) {
	lost := s.random.Float64() < loss
	if lost || s.cut[[2]string{from, to}] {
		return
	}
	d := s.Config.ZoneDelay
	switch {
	case from == "" || to == "":
		d = s.Config.CallerDelay
	case from == to:
		d = s.Config.LocalDelay
	}
	// A jitter of a tenth of the delay reorders some packets.
	s.After(d+time.Duration(s.random.Int64N(int64(d)/10+1)), f)
}

// randomVM returns a random live entry VM that is reachable from the zone, or nil.
func (s *Site) randomVM(zone string) *VM {
	var live []*VM
	for _, v := range s.VMs {
		if !v.Dead && !s.cut[[2]string{zone, v.Zone}] {
			live = append(live, v)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[s.random.IntN(len(live))]
}

// sendToEntry sends a datagram through the fabric to a random entry VM.
func (s *Site) sendToEntry(zone string, source netip.AddrPort, datagram []byte) {
	v := s.randomVM(zone)
	if v == nil || s.Blackholed[Path{source, netip.AddrPortFrom(v.Address, fabricPort)}] {
		return
	}
	s.deliver(zone, v.Zone, s.Loss, func() {
		v.receive(func() { v.HandleDatagram(v.now(), source, false, datagram) })
	})
}

func (s *Site) fromCaller(zone string, inner []byte) {
	if s.view.Parse(inner) != nil {
		return
	}
	if s.view.SYN {
		s.recordSYN()
	}
	s.sendToEntry(zone, s.view.Key.SourceAddr(), geneve.Append(nil, inner, geneve.ToService, 0, netip.Addr{}))
}

func (s *Site) fromHost(h *Host, inner []byte) {
	s.sendToEntry(h.Zone, h.Address, geneve.Append(nil, inner, geneve.ToCaller, 0, netip.Addr{}))
}

// source returns the outer source of a packet of a flow. Like the socket pool of the daemon, it changes the port of a
// flow once per poolPeriod.
func (v *VM) source(hash uint64) netip.AddrPort {
	return netip.AddrPortFrom(v.Address, poolPort+uint16((hash+uint64(v.now()/poolPeriod))%poolSize))
}

func (s *Site) toHost(v *VM, to netip.AddrPort, b []byte, hash uint64) {
	h, source := s.hostsByAddress[to.Addr()], v.source(hash)
	if h == nil || s.Blackholed[Path{source, to}] {
		return
	}
	s.deliver(v.Zone, h.Zone, s.Loss, func() {
		s.checkDelivery(h, b)
		accepted := h.Statistics.Accepted
		h.HandleDatagram(s.Now, source, b)
		if h.Statistics.Accepted > accepted {
			h.LastAccepted = s.Now
			if f := s.flows[s.view.Key]; f != nil {
				f.accepted = append(f.accepted, h.Name)
			}
		}
	})
}

func (s *Site) toPeer(v *VM, to netip.AddrPort, b []byte, hash uint64) {
	source := v.source(hash)
	peer := s.liveVM(to.Addr())
	if peer == nil || s.Blackholed[Path{source, to}] {
		return
	}
	s.deliver(v.Zone, peer.Zone, s.Loss, func() {
		peer.receive(func() { peer.HandleDatagram(peer.now(), source, true, b) })
	})
}

func (s *Site) toCaller(v *VM, b []byte, _ uint64) {
	inner, err := s.codec.Decode(b)
	if err != nil || s.view.Parse(inner) != nil {
		s.recordViolation("%s sent a malformed packet to the fabric", v.Name)
		return
	}
	group := int(s.view.Key.DestinationAddr().Addr().As4()[1]) - 64
	if group < 0 || group >= len(s.Callers) {
		s.recordViolation("%s sent a packet to the unknown caller %s", v.Name, s.view.Key)
		return
	}
	s.deliver(v.Zone, s.Config.Callers[group].Zone, s.Loss, func() { s.Callers[group].HandlePacket(s.Now, inner) })
}

// liveVM returns the live process at an address, or nil.
func (s *Site) liveVM(a netip.Addr) *VM {
	for _, v := range slices.Backward(s.VMs) {
		if v.Address == a && !v.Dead {
			return v
		}
	}
	return nil
}

// send sends a message to a member. A member without a control address is looked up by its name.
func (s *Site) send(v *VM, to member.Member, kind entry.Kind, body []byte) {
	v.MessageBytes[kind] += len(body)
	peer := s.VM(to.Name)
	if to.Control.IsValid() {
		peer = s.liveVM(to.Control.Addr())
	}
	if peer == nil || peer.Dead {
		return
	}
	path := s.LinkPath(v, peer)
	if s.Blackholed[path] {
		l := s.links[[2]string{v.Name, peer.Name}]
		if l.blackholedSince == 0 {
			l.blackholedSince = s.Now
		}
		if s.Now-l.blackholedSince < exchangeTimeout {
			return
		}
		l.port, l.blackholedSince = l.port+1, 0
	}
	s.deliver(v.Zone, peer.Zone, s.MessageLoss, func() {
		peer.receive(func() {
			m, err := entry.Decode(v.Name, kind, body)
			if err != nil {
				s.recordViolation("%s received a message that it cannot decode: %v", peer.Name, err)
				return
			}
			peer.Engine.HandleMessage(peer.now(), m)
		})
	})
}

// LinkPath returns the current path of messages from one entry VM to another.
func (s *Site) LinkPath(from, to *VM) Path {
	key := [2]string{from.Name, to.Name}
	l := s.links[key]
	if l == nil {
		l = &link{port: linkPort}
		s.links[key] = l
	}
	return Path{netip.AddrPortFrom(from.Address, l.port), netip.AddrPortFrom(to.Address, controlPort)}
}
