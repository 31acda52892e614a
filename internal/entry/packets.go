package entry

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/admission"
	"github.com/masticspar/masticspar/internal/capacity"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flow"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/packet"
)

// maxHops is the number of times that entry VMs pass a packet on. With equal views one is enough; the second covers
// a change of views. At the limit the receiver acts as the owner, which the ACK check of the flow table makes safe.
const maxHops = 2

// Reasons of drops that the engine itself decides.
const (
	reasonForeign   = "foreign"
	reasonHopLimit  = "hop-limit"
	reasonNoService = "no-service"
	reasonStaleView = "stale-view"
	reasonNoOwner   = "no-owner"
)

// Datagram handles one datagram; source is its outer source and fromPeer says that it came in at the data address.
func (e *Engine) Datagram(now time.Duration, source netip.AddrPort, fromPeer bool, datagram []byte) {
	e.now = now
	inner, err := e.codec.Decode(datagram)
	if err != nil {
		e.drop(reasonForeign)
		return
	}
	if fromPeer != (e.codec.Hops > 0) || fromPeer && !e.isPeer(source.Addr()) {
		e.drop(reasonForeign)
		return
	}
	if e.codec.Hops > maxHops {
		e.drop(reasonHopLimit)
		return
	}
	if e.stale {
		e.drop(reasonStaleView)
		return
	}
	if err := e.view.Parse(inner); err != nil {
		e.drop(parseReason(err))
		return
	}
	if e.codec.Direction == geneve.ToService {
		e.fromCaller(now, inner)
		return
	}
	host := source.Addr()
	if fromPeer {
		host = e.codec.Host
	}
	e.fromHost(now, host, inner)
}

func parseReason(err error) string {
	for _, known := range []errors.ConstError{packet.ErrTruncated, packet.ErrOversized, packet.ErrFragment} {
		if errors.Is(err, known) {
			return string(known)
		}
	}
	return reasonForeign
}

func (e *Engine) fromCaller(now time.Duration, inner []byte) {
	k := e.view.Key
	s := e.picture.Lookup(&k)
	if s == nil {
		e.drop(reasonNoService)
		return
	}
	if !e.ownOrForward(s, &k, inner, netip.Addr{}) {
		return
	}
	e.apply(e.flows.FromCaller(now, s, &e.view), inner, &k)
}

func (e *Engine) fromHost(now time.Duration, address netip.Addr, inner []byte) {
	k := e.view.Key.Reverse()
	s := e.picture.Lookup(&k)
	hs, h := e.picture.HostAt(address)
	if s == nil || h == nil || hs.ID != s.ID {
		e.drop(reasonForeign)
		return
	}
	if !e.ownOrForward(s, &k, inner, address) {
		return
	}
	e.apply(e.flows.FromHost(now, s, h, &e.view), inner, &k)
}

// ownOrForward reports whether this entry VM decides about the packet; if not, it was passed to the owner.
func (e *Engine) ownOrForward(s *fleet.Service, k *packet.Key, inner []byte, host netip.Addr) bool {
	owner, _, own := e.groups.owner(s.ID, k)
	if own || e.codec.Hops >= maxHops {
		return true
	}
	if owner == nil {
		e.drop(reasonNoOwner)
		return false
	}
	e.out = geneve.Append(e.out[:0], inner, e.codec.Direction, e.codec.Hops+1, host)
	e.ToPeer(owner.Data, e.out, k.Hash())
	e.count("forwarded-to-owner")
	return false
}

// apply carries out a verdict; k is the key in the caller's direction.
func (e *Engine) apply(v flow.Verdict, inner []byte, k *packet.Key) {
	switch v.Action {
	case flow.ToHost:
		e.sendToHost(v.Host, inner, k.Hash())
	case flow.ToCaller:
		e.sendToCaller(inner, k.Hash())
	case flow.Drop:
		e.drop(v.Reason)
		return
	}
	if v.Reason != "" {
		e.count(v.Reason)
	}
}

// emit sends a packet that the flow table made, to the caller when there is no host.
func (e *Engine) emit(_ time.Duration, to *fleet.Host, b []byte) {
	hash := e.view.Key.Hash()
	if to == nil {
		e.sendToCaller(b, hash)
		return
	}
	e.sendToHost(to, b, hash)
}

func (e *Engine) sendToHost(h *fleet.Host, inner []byte, hash uint64) {
	e.out = geneve.Append(e.out[:0], inner, geneve.ToService, 0, netip.Addr{})
	e.ToHost(h.Address, e.out, hash)
}

func (e *Engine) sendToCaller(inner []byte, hash uint64) {
	e.out = geneve.Append(e.out[:0], inner, geneve.ToCaller, 0, netip.Addr{})
	e.ToFabric(e.out, hash)
}

// drop counts a packet that goes nowhere, or whose flow was refused.
func (e *Engine) drop(reason string) {
	c, ok := e.dropped[reason]
	if !ok {
		prefix := "dropped-"
		if refusals[reason] {
			prefix = "refused-"
		}
		c = e.Counters.Counter(prefix + reason)
		e.dropped[reason] = c
	}
	c.Inc(1)
}

// refusals are the reasons for which a caller gets a reset in reply to its SYN.
var refusals = map[string]bool{
	capacity.NoHost: true, capacity.Overload: true, capacity.ConnectionLimit: true,
	flow.ReasonTableFull: true, flow.ReasonRetryBudget: true, admission.UnfairShare: true,
}

func (e *Engine) count(name string) {
	c, ok := e.counted[name]
	if !ok {
		c = e.Counters.Counter(name)
		e.counted[name] = c
	}
	c.Inc(1)
}

// isPeer reports whether a known entry VM has the data address; it is checked for each forwarded packet.
func (e *Engine) isPeer(a netip.Addr) bool { return e.peerData[a] }
