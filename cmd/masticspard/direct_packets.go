package main

import (
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/direct"
	"github.com/masticspar/masticspar/internal/fabric"
)

// packets takes a batch of the socket.
func (d *directDaemon) packets(batch []fabric.Datagram) {
	d.timer.Check()
	now := d.timer.Now()
	d.packetAt.Store(int64(now))
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range batch {
		d.packet(now, batch[i].Bytes)
	}
	d.socket.Flush()
}

func (d *directDaemon) packet(now time.Duration, b []byte) {
	p, err := d.codec.Decode(b)
	if err != nil {
		d.counters.Add("dropped-malformed", 1)
		return
	}
	v := direct.Verdict{Reason: direct.Waking}
	if !p.SYN || now >= d.awake {
		v = d.engine.Packet(now, &p)
	}
	switch v.Action {
	case direct.Forward:
		d.out = d.codec.AppendForward(d.out[:0], b, v.Host.Token, v.Host.Number)
		d.socket.Send(v.Host.Address, d.out, uint64(v.Host.Token), now)
		if p.SYN && !v.Again {
			d.logFlow(now, "flow-opened", &p, v)
		}
		if v.Again {
			d.counters.Add("retry-unanswered", 1)
			d.logFlow(now, "flow-retried", &p, v)
		}
	case direct.Reset:
		var to netip.AddrPort
		d.out, to = d.codec.AppendReset(d.out[:0], &p)
		d.socket.Send(to, d.out, uint64(p.Token), now)
		d.counters.Add("refused-"+v.Reason, 1)
		d.logFlow(now, "flow-reset", &p, v)
	default:
		d.counters.Add("dropped-"+v.Reason, 1)
		d.logFlow(now, "packet-dropped", &p, v)
	}
}
