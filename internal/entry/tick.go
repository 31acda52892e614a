package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/member"
)

// TickPeriod is the interval at which Tick must be called.
const TickPeriod = 50 * time.Millisecond

const (
	reportPeriod         = time.Second
	hintPeriod           = 500 * time.Millisecond
	hintMessagesPerFlush = 2  // to one member in normal operation
	drainMessagesPerTick = 20 // to one member while this entry VM hands over its pins
)

// schedule holds the times at which the periodic steps are next due.
type schedule struct {
	report, hint time.Duration
}

// Tick runs the periodic steps that are due.
func (e *Engine) Tick(now time.Duration) {
	e.now = now
	e.members.Tick(now)
	e.syncer.Tick(now)
	e.configure(now)
	e.clearStale(now)
	e.releasePins(now)
	e.flows.Sweep(now)
	if now >= e.due.report {
		e.due.report = now + reportPeriod
		e.sendReports(now)
		e.model.Tick(now)
	}
	if e.leaving {
		e.flushHints(drainMessagesPerTick)
	} else if now >= e.due.hint {
		e.due.hint = now + hintPeriod
		e.flushHints(hintMessagesPerFlush)
	}
}

// clearStale ends the stale state when membership and configuration have been refreshed.
func (e *Engine) clearStale(now time.Duration) {
	if !e.stale || !e.members.Settled(now) || !e.syncer.Ready() {
		return
	}
	e.stale = false
	e.configure(now)
	v := e.catalog.Versions()
	e.Logger.Info("view-refreshed", zap.Int("members", len(e.members.Active())),
		zap.Uint64("inventory-version", v.Inventory.Number), zap.Uint64("rules-version", v.Rules.Number))
}

// sendReports sends each peer a capacity report about the hosts of the services whose flows both entry VMs may own.
func (e *Engine) sendReports(now time.Duration) {
	if e.stale || e.leaving {
		return
	}
	r := e.model.Report(now)
	for _, m := range e.groups.peers {
		filtered := e.model.FilterReport(r, m.Name)
		b, err := filtered.Encode()
		if err != nil {
			e.Logger.Error("message-not-encoded", zap.Error(err))
			return
		}
		e.Send(m, KindReport, b)
	}
}

// Drain ends the ownership of flows by this entry VM: it announces that the VM leaves and hands over its pins. The
// engine continues to forward packets.
func (e *Engine) Drain(now time.Duration) {
	if e.leaving {
		return
	}
	e.now = now
	e.leaving = true
	e.Logger.Info("drain-started", zap.Int("pins", e.flows.Len()))
	e.members.Leave(now)
	e.configure(now)
}

// Drained reports whether all pins have been handed over.
func (e *Engine) Drained() bool {
	return e.leaving && !e.handOver.active && e.hints.empty()
}

// Members returns all known entry VMs, including this one.
func (e *Engine) Members() []member.Member { return e.members.Members() }
