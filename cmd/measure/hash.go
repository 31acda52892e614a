package main

import (
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/rendezvous"
	"github.com/masticspar/masticspar/internal/standin/site"
)

const (
	hashIdleTimeout   = time.Hour // the same as for established flows of masticspar
	hashSweepInterval = time.Minute
)

// hasher handles the packets of an entry VM under the policy hash, in place of the packet path of masticspar.
type hasher struct {
	vm        *site.VM
	flows     map[packet.Key]*hashedFlow
	lastSweep time.Duration
	codec     geneve.Codec
	view      packet.Packet
	ranker    rendezvous.Ranker
	out       []byte
}

// hashedFlow is an entry of the flow table of a hasher.
type hashedFlow struct {
	host     string
	lastUsed time.Duration
}

func (h *hasher) handleDatagram(now time.Duration, _ netip.AddrPort, _ bool, datagram []byte) {
	inner, err := h.codec.Decode(datagram)
	if err != nil || h.view.Parse(inner) != nil {
		return
	}
	if h.codec.Direction == geneve.ToCaller {
		h.out = geneve.Append(h.out[:0], inner, geneve.ToCaller, 0, netip.Addr{})
		h.vm.Engine.ToFabric(h.out, h.view.Key.Hash())
		return
	}
	s := h.service()
	if s == nil {
		return
	}
	if host := h.choose(now, s); host != nil {
		h.out = geneve.Append(h.out[:0], inner, geneve.ToService, 0, netip.Addr{})
		h.vm.Engine.ToHost(host.Address, h.out, h.view.Key.Hash())
	}
}

// service returns the service to which the packet in h.view is addressed, or nil.
func (h *hasher) service() *fleet.Service {
	for _, s := range h.vm.Engine.Services() {
		for _, a := range s.Addresses {
			if a == h.view.Key.DestinationAddr() {
				return s
			}
		}
	}
	return nil
}

// choose returns the host for the packet in h.view, or nil when the service has no hosts.
func (h *hasher) choose(now time.Duration, s *fleet.Service) *fleet.Host {
	h.sweep(now)
	k := h.view.Key
	if f := h.flows[k]; f != nil {
		for _, known := range s.Hosts {
			if known.Name == f.host {
				f.lastUsed = now
				return known
			}
		}
	}
	h.ranker.Reset(k.Hash())
	for _, c := range s.Hosts {
		weight := 1.0
		if c.Leaving {
			weight = 0
		}
		h.ranker.Add(rendezvous.Hash(c.Name), weight)
	}
	for _, i := range h.ranker.First(1) {
		h.flows[k] = &hashedFlow{host: s.Hosts[i].Name, lastUsed: now}
		return s.Hosts[i]
	}
	return nil
}

// sweep removes idle flows from the flow table.
func (h *hasher) sweep(now time.Duration) {
	if h.flows == nil {
		h.flows = map[packet.Key]*hashedFlow{}
	}
	if now-h.lastSweep < hashSweepInterval {
		return
	}
	h.lastSweep = now
	for k, f := range h.flows {
		if now-f.lastUsed > hashIdleTimeout {
			delete(h.flows, k)
		}
	}
}
