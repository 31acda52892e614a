package dsr

import (
	"time"

	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/registry"
)

// settledAfter is the time after the first server is listed from which an unknown server counts as new. Before, the
// entry VM itself is new.
const settledAfter = 5 * time.Second

// startPaces makes servers that are new, restarted, listed again or back from an evacuation begin at a pace.
func (e *Engine) startPaces() {
	changed, evacuated := e.Registry.Changed, e.Registry.EvacuationChanged
	e.Registry.Changed = func(now time.Duration, l *registry.Lifetime, before registry.State) {
		if changed != nil {
			changed(now, l, before)
		}
		switch {
		case l.State == registry.StateGone:
			e.ended = l
		case l.State == registry.StateReady && before == registry.StateGone:
			e.beginPace(now, l)
		}
	}
	e.Registry.EvacuationChanged = func(now time.Duration, zone string, active bool) {
		if !active {
			e.Registry.Each(func(l *registry.Lifetime) {
				if l.AvailabilityZone == zone && (l.State == registry.StateReady || l.State == registry.StateLapsed) {
					e.Placement.BeginPace(now, l, placement.PaceReturned)
				}
			})
		}
		if evacuated != nil {
			evacuated(now, zone, active)
		}
	}
}

// beginPace begins the pace of a server that was listed, unless it may have been running for long.
func (e *Engine) beginPace(now time.Duration, l *registry.Lifetime) {
	if !e.listed {
		e.listed, e.listedAt = true, now
	}
	switch {
	case e.ended != nil && e.ended != l && e.ended.Name == l.Name:
		e.Placement.BeginPace(now, l, placement.PaceRestarted)
	case l.FirstSeen < now:
		e.Placement.BeginPace(now, l, placement.PaceRelisted)
	case now < l.ColdUntil || now-e.listedAt >= settledAfter && len(e.Registry.Hosts(l.Service)) > 1:
		e.Placement.BeginPace(now, l, placement.PaceNew)
	}
}
