package main

import (
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/backlog"
	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/dsr"
	"github.com/masticspar/masticspar/internal/fabric"
)

// handlePackets handles a batch of datagrams from the socket.
func (d *dsrDaemon) handlePackets(batch []fabric.Datagram) {
	d.timer.Check()
	now := d.timer.Now()
	d.lastPacketAt.Store(int64(now))
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range batch {
		d.handleContained(now, now, batch[i].Bytes)
	}
	d.socket.Flush()
}

// handlePacket decodes a packet and forwards, resets, holds or drops it as the engine decides. arrived is earlier than
// now for a packet that was held.
func (d *dsrDaemon) handlePacket(now, arrived time.Duration, b []byte) {
	p, err := d.codec.Decode(b)
	if err != nil {
		d.counters.Add("dropped-malformed", 1)
		return
	}
	v := dsr.Verdict{Reason: dsr.ReasonResuming}
	switch {
	case p.SYN && now < d.resumeAt:
	case p.SYN && d.outdated(now):
		v = dsr.Verdict{Action: dsr.Hold, Reason: dsr.ReasonOutdated}
	default:
		v = d.engine.HandlePacket(now, &p)
	}
	switch v.Action {
	case dsr.Forward:
		d.out = d.codec.AppendForward(d.out[:0], b, v.Host.Token, v.Host.Number)
		d.socket.Send(v.Host.Address, d.out, uint64(v.Host.Token), now)
		if p.SYN {
			d.openings.record(now, v.Host.Token)
		}
		if p.SYN && !v.Retried {
			d.logFlow(now, "flow-opened", &p, v)
		}
		if v.Retried {
			d.counters.Add("retry-unanswered", 1)
			d.logFlow(now, "flow-retried", &p, v)
		}
	case dsr.Reset:
		var to netip.AddrPort
		d.out, to = d.codec.AppendReset(d.out[:0], &p)
		d.socket.Send(to, d.out, uint64(p.Token), now)
		d.counters.Add("refused-"+v.Reason, 1)
		d.logFlow(now, "flow-reset", &p, v)
	case dsr.Hold:
		if d.held.Add(now, backlog.Packet{Arrived: arrived, Bytes: b, Reason: v.Reason}) {
			d.counters.Add("held-"+v.Reason, 1)
			d.logFlow(now, "packet-held", &p, v)
			if v.Reason == dsr.ReasonUnknownToken && d.peers != nil {
				d.peers.resolver.Resolve(now, p.Token)
			}
			return
		}
		d.recordDrop(now, &p, v)
	default:
		d.recordDrop(now, &p, v)
	}
}

func (d *dsrDaemon) recordDrop(now time.Duration, p *conntrack.Packet, v dsr.Verdict) {
	d.counters.Add("dropped-"+v.Reason, 1)
	d.logFlow(now, "packet-dropped", p, v)
}

// retryHeld handles the held packets again, after the registry has changed.
func (d *dsrDaemon) retryHeld(now time.Duration) {
	for _, h := range d.held.Take() {
		d.handleContained(now, h.Arrived, h.Bytes)
	}
	d.socket.Flush()
}

// expireHeld drops the packets whose hold time has expired.
func (d *dsrDaemon) expireHeld(now time.Duration) {
	for _, h := range d.held.Expire(now) {
		p, err := d.codec.Decode(h.Bytes)
		if err != nil {
			continue // Packets that cannot be decoded are not held.
		}
		d.recordDrop(now, &p, dsr.Verdict{Reason: h.Reason})
	}
}
