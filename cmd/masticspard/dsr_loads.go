package main

import (
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/loadreport"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/placement"
)

// connectLoadReports passes the events of flows to the load reports, and what other entry VMs report to the placement.
// It is called once, with d.mu held.
func (d *dsrDaemon) connectLoadReports() {
	e, loads := &d.engine, &d.peers.loads
	observe := e.Flows.Observe
	e.Flows.Observe = func(now time.Duration, ev flowevent.Event) {
		loads.Observe(now, ev)
		observe(now, ev)
	}
	forgotten := e.Registry.Forgotten
	e.Registry.Forgotten = func(token uint32) {
		forgotten(token)
		loads.Forget(token)
	}
	e.Placement.Shared = func(now time.Duration, token uint32) (placement.Shared, bool) {
		estimate, ok := loads.Estimate(now, token)
		return placement.Shared(estimate), ok
	}
}

// setLoaded marks a server whose observations are worth reporting to other entry VMs, or removes the mark; d.mu must be
// held. Without a peer address nothing is reported.
func (d *dsrDaemon) setLoaded(now time.Duration, token uint32, loaded bool) {
	if d.peers != nil {
		d.peers.loads.SetLoaded(now, token, loaded)
	}
}

func (p *peers) sendLoadReport(to []member.Member, m *loadreport.Message) {
	b, err := loadreport.Encode(m)
	for _, vm := range to {
		p.send(vm.Control, kindLoadReport, b, err)
	}
}

func (d *dsrDaemon) handleLoadReport(now time.Duration, b []byte) error {
	m, err := loadreport.Decode(b)
	if err != nil {
		d.counters.Add("load-reports-refused", 1)
		d.counters.Add("load-reports-refused-malformed", 1)
		return err
	}
	d.peers.loads.Handle(now, m)
	return nil
}
