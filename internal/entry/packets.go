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
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/packet"
)

// maxHops is the maximum number of times that entry VMs forward a packet. With equal views one is enough; the second
// covers a change of views. At the limit the receiver acts as the owner, which is safe because of the ACK check of the
// flow table.
const maxHops = 2

// Reasons for which the engine drops packets itself.
const (
	reasonForeign   = "foreign"    // malformed, or not from the fabric, a host of the service or a known entry VM
	reasonHopLimit  = "hop-limit"  // forwarded more than maxHops times
	reasonNoService = "no-service" // the destination is not an address of a service
	reasonStaleView = "stale-view" // the view has not been refreshed since the start or a pause
	reasonNoOwner   = "no-owner"   // the owner group of the service is empty
)

// HandleDatagram handles one datagram. source is its outer source address, and fromPeer reports whether it arrived at
// the data address of this entry VM, which other entry VMs forward to.
func (e *Engine) HandleDatagram(now time.Duration, source netip.AddrPort, fromPeer bool, datagram []byte) {
	e.QueueDatagram(now, source, fromPeer, datagram)
	e.HandleQueued(now)
}

// QueueDatagram is HandleDatagram for one of several datagrams. A packet of a flow that this entry VM owns waits for
// the next HandleQueued, or until the queue is full. The bytes of the datagram must not change until then. With many
// open flows this is faster than HandleDatagram, because the pins of the queued packets are prefetched into the cache
// of the CPU together.
func (e *Engine) QueueDatagram(now time.Duration, source netip.AddrPort, fromPeer bool, datagram []byte) {
	e.now = now
	qp := e.queue.next()
	if reason := e.parseDatagram(qp, source, fromPeer, datagram); reason != "" {
		e.drop(reason)
		return
	}
	owner, _, own := e.groups.ownerOfHash(qp.service.ID, qp.hash)
	switch {
	case own || e.codec.Hops >= maxHops:
		e.queue.add()
		if e.queue.full() {
			e.HandleQueued(now)
		}
	case owner == nil:
		e.drop(reasonNoOwner)
	default:
		e.forward(qp, owner)
	}
}

// HandleQueued handles the queued packets in order of arrival.
func (e *Engine) HandleQueued(now time.Duration) {
	e.now = now
	keys := e.queue.take()
	if len(keys) > 1 {
		e.flows.Prefetch(keys)
	}
	for i := range keys {
		qp := e.queue.at(i)
		qp.load(&e.parsed, &keys[i])
		if qp.host == nil {
			e.applyVerdict(qp, e.flows.FromCaller(now, qp.service, &e.parsed))
		} else {
			e.applyVerdict(qp, e.flows.FromHost(now, qp.service, qp.host, &e.parsed))
		}
	}
}

// parseDatagram fills qp from a datagram, or returns the reason why the datagram is dropped.
func (e *Engine) parseDatagram(qp *queuedPacket, source netip.AddrPort, fromPeer bool, datagram []byte) string {
	inner, err := e.codec.Decode(datagram)
	switch {
	case err != nil, fromPeer != (e.codec.Hops > 0), fromPeer && !e.isPeer(source.Addr()):
		return reasonForeign
	case e.codec.Hops > maxHops:
		return reasonHopLimit
	case e.stale:
		return reasonStaleView
	}
	if err := e.parsed.Parse(inner); err != nil {
		return parseReason(err)
	}
	key := e.queue.key()
	if e.codec.Direction == geneve.ToService {
		*key = e.parsed.Key
		qp.address, qp.host, qp.service = netip.Addr{}, nil, e.catalog.Lookup(key)
		if qp.service == nil {
			return reasonNoService
		}
	} else {
		*key = e.parsed.Key.Reverse()
		qp.address = source.Addr()
		if fromPeer {
			qp.address = e.codec.Host
		}
		var hostService *fleet.Service
		qp.service = e.catalog.Lookup(key)
		hostService, qp.host = e.catalog.HostAt(qp.address)
		if qp.service == nil || qp.host == nil || hostService.ID != qp.service.ID {
			return reasonForeign
		}
	}
	qp.hash = key.Hash()
	qp.save(&e.parsed)
	return ""
}

// forward sends the packet to the owner of its flow.
func (e *Engine) forward(qp *queuedPacket, owner *member.Member) {
	e.out = geneve.Append(e.out[:0], qp.bytes, e.codec.Direction, e.codec.Hops+1, qp.address)
	e.ToPeer(owner.Data, e.out, qp.hash)
	e.count("forwarded-to-owner")
}

func parseReason(err error) string {
	for _, known := range []errors.ConstError{packet.ErrTruncated, packet.ErrOversized, packet.ErrFragment} {
		if errors.Is(err, known) {
			return string(known)
		}
	}
	return reasonForeign
}

// applyVerdict carries out the verdict on a packet.
func (e *Engine) applyVerdict(qp *queuedPacket, v flow.Verdict) {
	switch v.Action {
	case flow.ToHost:
		e.sendToHost(v.Host, qp.bytes, qp.hash)
	case flow.ToCaller:
		e.sendToCaller(qp.bytes, qp.hash)
	case flow.Drop:
		e.drop(v.Reason)
		return
	}
	if v.Reason != "" {
		e.count(v.Reason)
	}
}

// emit sends a packet that the flow table created, to the caller when to is nil. The hash is computed from the packet,
// because a sweep creates packets of other flows than the one that was handled last.
func (e *Engine) emit(_ time.Duration, to *fleet.Host, b []byte) {
	if err := e.emitted.Parse(b); err != nil {
		e.drop(parseReason(err))
		return
	}
	k := e.emitted.Key
	if to == nil {
		k = k.Reverse()
		e.sendToCaller(b, k.Hash())
		return
	}
	e.sendToHost(to, b, k.Hash())
}

func (e *Engine) sendToHost(h *fleet.Host, inner []byte, hash uint64) {
	e.out = geneve.Append(e.out[:0], inner, geneve.ToService, 0, netip.Addr{})
	e.ToHost(h.Address, e.out, hash)
}

func (e *Engine) sendToCaller(inner []byte, hash uint64) {
	e.out = geneve.Append(e.out[:0], inner, geneve.ToCaller, 0, netip.Addr{})
	e.ToFabric(e.out, hash)
}

// drop counts a packet that is not sent on, or whose flow was refused.
func (e *Engine) drop(reason string) {
	c, ok := e.dropCounters[reason]
	if !ok {
		prefix := "dropped-"
		if refusalReasons[reason] {
			prefix = "refused-"
		}
		c = e.Counters.Counter(prefix + reason)
		e.dropCounters[reason] = c
	}
	c.Inc(1)
}

// refusalReasons are the reasons for which a caller gets a reset in reply to its SYN.
var refusalReasons = map[string]bool{
	capacity.ReasonNoHost: true, capacity.ReasonOverload: true, capacity.ReasonConnectionLimit: true,
	flow.ReasonTableFull: true, flow.ReasonRetryBudget: true, admission.ReasonUnfairShare: true,
}

func (e *Engine) count(name string) {
	c, ok := e.eventCounters[name]
	if !ok {
		c = e.Counters.Counter(name)
		e.eventCounters[name] = c
	}
	c.Inc(1)
}

// isPeer reports whether a known entry VM has the data address. It is checked for each forwarded packet.
func (e *Engine) isPeer(a netip.Addr) bool { return e.peerData[a] }
