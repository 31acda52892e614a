package main

import (
	"time"

	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/dsr"
	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/pace"
	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/registry"
)

// logHostState counts and logs a new state of a server.
func (d *dsrDaemon) logHostState(now time.Duration, l *registry.Lifetime, before registry.State) {
	d.counters.Add("host-"+l.State.String(), 1)
	d.logLateOpening(now, l)
	line := d.log.Check(zap.InfoLevel, "host-state")
	if line == nil {
		return // Sampling omits most lines when a full read of a large fleet changes thousands of servers at once.
	}
	line.Write(zap.String("host", l.Name), zap.Uint32("token", l.Token), zap.String("service", l.Service),
		zap.String("availability-zone", l.AvailabilityZone), zap.Stringer("address", l.Address),
		zap.Stringer("state", l.State), zap.Stringer("before", before), zap.Duration("held", now-l.FirstSeen),
		zap.Bool("replaced", l.Replaced))
}

// logReplaced counts and logs that a server counts as replaced, with the evidence about both starts.
func (d *dsrDaemon) logReplaced(former, later *registry.Lifetime) {
	d.counters.Add("host-replaced", 1)
	d.log.Info("host-replaced", zap.String("host", former.Name), zap.Uint32("token", former.Token),
		zap.Int64("started", former.Started), zap.Stringer("first-listed", former.First),
		zap.Stringer("last-listed", former.Last), zap.Stringer("address", former.Address),
		zap.String("by", later.Name), zap.Uint32("by-token", later.Token), zap.Int64("by-started", later.Started),
		zap.Stringer("by-first-listed", later.First), zap.Stringer("by-last-listed", later.Last))
}

// logEvacuation counts and logs that the evacuation of an availability zone started or ended.
func (d *dsrDaemon) logEvacuation(_ time.Duration, zone string, evacuated bool) {
	event := "zone-evacuation-ended"
	if evacuated {
		event = "zone-evacuated"
	}
	d.counters.Add(event, 1)
	at := history.Position{}
	if d.replica != nil {
		at = d.replica.Position()
	}
	d.log.Warn(event, zap.String("availability-zone", zone), zap.Stringer("picture", at),
		zap.Duration("picture-age", d.age()))
}

// logSuspicion counts and logs that a server became suspected or responds again.
func (d *dsrDaemon) logSuspicion(now time.Duration, token uint32, suspected bool) {
	event := "host-answers"
	if suspected {
		event = "host-suspected"
	}
	d.counters.Add(event, 1)
	load := d.engine.Placement.Load(now, token)
	d.log.Info(event, zap.Uint32("token", token), zap.Duration("silence", load.SinceResponse),
		zap.Int("outstanding", load.Outstanding), zap.Int("repeats", load.Failures))
}

// logOverload counts and logs the start or the end of the overload of a service, and the evidence.
func (d *dsrDaemon) logOverload(_ time.Duration, service string, overloaded bool, e placement.Evidence) {
	event := "overload-ended"
	if overloaded {
		event = "overload-started"
	}
	d.counters.Add(event, 1)
	d.log.Info(event, zap.String("service", service), zap.Int("requests", int(e.Requests)), zap.Int("late", int(e.Late)),
		zap.Int("servers", e.Servers), zap.Int("late-servers", e.LateServers))
}

// logPace counts and logs that the pace of a server started or ended.
func (d *dsrDaemon) logPace(_ time.Duration, token uint32, c pace.Change) {
	event := "pace-ended"
	if c.Started {
		event = "pace-started"
	}
	d.counters.Add(event, 1)
	d.log.Info(event, zap.Uint32("token", token), zap.String("reason", c.Reason), zap.Float64("room", c.Room),
		zap.Duration("duration", c.Duration))
}

// logFlow logs a decision about a flow and the values that it depends on. Under load most lines are omitted before
// their fields are built.
func (d *dsrDaemon) logFlow(now time.Duration, event string, p *conntrack.Packet, v dsr.Verdict) {
	line := d.log.Check(zap.InfoLevel, event)
	if line == nil {
		return
	}
	fields := []zap.Field{
		zap.Stringer("caller", p.Caller), zap.Stringer("service-address", p.Service), zap.Uint32("token", p.Token),
		zap.Bool("syn", p.SYN), zap.Uint64("configuration", d.engine.Registry.Version()),
		zap.Duration("picture-age", d.age()),
	}
	if v.Reason != "" {
		fields = append(fields, zap.String("reason", v.Reason))
	}
	if o := v.Overload; o != nil {
		fields = append(fields, zap.Int("priority", o.Priority), zap.Duration("expected", o.Expected),
			zap.Duration("target-latency", o.TargetLatency), zap.Float64("in-flight", o.InFlight), zap.Float64("limit", o.Limit))
	}
	if v.Host != nil {
		load := d.engine.Placement.Load(now, v.Host.Token)
		fields = append(fields, zap.String("host", v.Host.Name), zap.Stringer("host-state", v.Host.State),
			zap.Int("outstanding", load.Outstanding), zap.Duration("answer-time", load.ResponseTime),
			zap.Duration("silence", load.SinceResponse), zap.Int("repeats", load.Failures))
		if room, reason, limited := d.engine.Placement.PaceStatus(v.Host.Token); limited {
			fields = append(fields, zap.Float64("room", room), zap.String("pace-reason", reason))
		}
	}
	line.Write(fields...)
}
