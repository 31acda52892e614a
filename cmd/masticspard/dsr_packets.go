package main

import (
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/backlog"
	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/dsr"
	"github.com/masticspar/masticspar/internal/fabric"
)

// packets takes a batch of the socket.
func (d *dsrDaemon) packets(batch []fabric.Datagram) {
	d.timer.Check()
	now := d.timer.Now()
	d.packetAt.Store(int64(now))
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range batch {
		d.packet(now, now, batch[i].Bytes)
	}
	d.socket.Flush()
}

// packet carries out the decision about a packet that arrived at the given time.
func (d *dsrDaemon) packet(now, arrived time.Duration, b []byte) {
	p, err := d.codec.Decode(b)
	if err != nil {
		d.counters.Add("dropped-malformed", 1)
		return
	}
	v := dsr.Verdict{Reason: dsr.ReasonResuming}
	if !p.SYN || now >= d.awake {
		v = d.engine.HandlePacket(now, &p)
	}
	switch v.Action {
	case dsr.Forward:
		d.out = d.codec.AppendForward(d.out[:0], b, v.Host.Token, v.Host.Number)
		d.socket.Send(v.Host.Address, d.out, uint64(v.Host.Token), now)
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
		d.dropped(now, &p, v)
	default:
		d.dropped(now, &p, v)
	}
}

func (d *dsrDaemon) dropped(now time.Duration, p *conntrack.Packet, v dsr.Verdict) {
	d.counters.Add("dropped-"+v.Reason, 1)
	d.logFlow(now, "packet-dropped", p, v)
}

// retry decides again about the packets that were held, after the picture has changed.
func (d *dsrDaemon) retry(now time.Duration) {
	for _, h := range d.held.Take() {
		d.packet(now, h.Arrived, h.Bytes)
	}
	d.socket.Flush()
}

// expire drops the packets that were held for too long.
func (d *dsrDaemon) expire(now time.Duration) {
	for _, h := range d.held.Expire(now) {
		p, err := d.codec.Decode(h.Bytes)
		if err != nil {
			continue // Packets that cannot be decoded are not held.
		}
		d.dropped(now, &p, dsr.Verdict{Reason: h.Reason})
	}
}
