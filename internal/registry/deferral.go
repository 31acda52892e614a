package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/history"
)

// deferPeriod is how long a listed server is deferred at most because of a later report of its name. It is longer than the
// store takes to remove the entry of a server that has ended, and than a server takes to write its entry again.
const deferPeriod = 5 * time.Second

// deferredChange is a listed server that is applied later, because its report may be outdated.
type deferredChange struct {
	Change
	lifetime *Lifetime
	since    time.Duration
}

// conflict is why the report of a listed server may be outdated.
type conflict uint8

const (
	noConflict   conflict = iota
	laterStart            // its name has a later start
	laterReport           // a later report of the same start is known
	addressInUse          // another server with a later start has its address
)

// findConflict returns why the report of a listed server may be outdated, and the lifetime that it contradicts.
func (r *Registry) findConflict(c *Change) (conflict, *Lifetime) {
	h := c.Host
	if l := r.names[h.Name]; l != nil {
		// Leaving is final for a start, so a report that it leaves is never outdated. The removal of an entry is not final,
		// and the first report after it may be an earlier one.
		reportCounts := l.State != StateGone || l.Leaving
		switch {
		case l.Started > h.Started:
			return laterStart, l
		case l.Started == h.Started && l.Sequence > h.Sequence && !h.Leaving && reportCounts:
			return laterReport, l
		}
	}
	other := r.addresses[h.Address]
	if other != nil && other.Name != h.Name && other.State != StateGone && other.Started >= h.Started {
		return addressInUse, other
	}
	return noConflict, nil
}

// list applies the report of a listed server, or defers it if it may be outdated.
func (r *Registry) list(now time.Duration, c *Change) bool {
	r.initMaps()
	if kind, other := r.findConflict(c); kind != noConflict {
		return r.deferHost(now, c, kind, other)
	}
	delete(r.deferred, c.Name)
	return r.applyHost(now, c)
}

// applyHost makes a listed server the current one of its name and of its address.
func (r *Registry) applyHost(now time.Duration, c *Change) bool {
	h := c.Host
	l := r.add(now, c)
	r.setCurrent(now, l)
	if c.Era > l.First.Era {
		l.First = r.first(c)
	}
	l.Last = c.position()
	moved := l.Address != h.Address || l.Service != h.Service
	if moved {
		r.unlist(l)
		r.releaseAddress(l)
	}
	sequence := max(l.Sequence, h.Sequence)
	l.Host, l.Removed, l.Replaced = *h, false, false
	l.Sequence = sequence
	l.ColdUntil = max(now+h.Cold, l.returnedUntil)
	r.claimAddress(now, l)
	state := StateReady
	if h.Leaving {
		state = StateLeaving
	}
	changed := r.setState(now, l, state)
	r.updateListing(l)
	return changed || moved
}

// deferHost keeps the report of a listed server that contradicts another lifetime. Packets of its flows are forwarded
// meanwhile.
func (r *Registry) deferHost(now time.Duration, c *Change, kind conflict, other *Lifetime) bool {
	l := r.add(now, c)
	l.Last, l.Removed = c.position(), false
	l.Replaced = l.Replaced && r.replaces(other, l)
	if l.State == StateGone && c.Host.Sequence >= l.Sequence {
		r.releaseAddress(l)
		l.Host = *c.Host
	}
	since := now
	if d := r.deferred[c.Name]; d != nil {
		since = d.since
	}
	if r.deferred == nil {
		r.deferred = map[string]*deferredChange{}
	}
	r.deferred[c.Name] = &deferredChange{*c, l, since}

	if current := r.names[c.Name]; current == nil || current.Started < l.Started {
		r.setCurrent(now, l)
	}
	current := r.names[c.Name]
	switch {
	case current.State != StateReady && current.State != StateLapsed:
		return false
	case c.Host.Leaving:
		return r.setState(now, current, StateLeaving) // The server of this name leaves, whichever start it is.
	case kind == laterReport:
		return r.setState(now, current, StateReady) // It is listed again.
	case kind == laterStart && current.State == StateReady:
		return r.setState(now, current, StateLapsed) // Its next report lists it again.
	}
	return false
}

// applyDeferred applies the deferred reports that are not outdated and reports whether one changed the registry.
func (r *Registry) applyDeferred(now time.Duration) bool {
	if len(r.deferred) == 0 {
		return false
	}
	list := slices.SortedFunc(maps.Values(r.deferred), func(a, b *deferredChange) int {
		return cmp.Or(cmp.Compare(b.Host.Started, a.Host.Started), cmp.Compare(a.Name, b.Name))
	})
	changed := false
	for _, d := range list {
		if r.deferred[d.Name] != d {
			continue // Applying another one has replaced it.
		}
		if kind, other := r.findConflict(&d.Change); kind != noConflict {
			l := d.lifetime
			if l.State == StateGone && r.replaces(other, l) {
				r.markReplaced(l, other)
			}
			// An outdated entry would have been removed or written again by now, unless a clock was set back.
			settled := kind != addressInUse && now-d.since >= deferPeriod
			left := l.Leaving && l.Sequence > d.Host.Sequence && !d.Host.Leaving
			if !settled || left {
				continue
			}
		}
		delete(r.deferred, d.Name)
		changed = r.applyHost(now, &d.Change) || changed
	}
	return changed
}

// setCurrent makes l the current lifetime of its name.
func (r *Registry) setCurrent(now time.Duration, l *Lifetime) {
	former := r.names[l.Name]
	r.names[l.Name] = l
	if former == nil || former == l {
		return
	}
	if r.replaces(l, former) {
		r.markReplaced(former, l)
	}
	r.setState(now, former, StateGone)
}

// claimAddress assigns the address of l to l. Another server that is listed with the address is deferred.
func (r *Registry) claimAddress(now time.Duration, l *Lifetime) {
	other := r.addresses[l.Address]
	r.addresses[l.Address] = l
	if other == nil || other == l {
		return
	}
	if r.replaces(l, other) {
		r.markReplaced(other, l)
	}
	// An entry that is already deferred is another report of the server.
	if r.deferred[other.Name] == nil && (other.State == StateReady || other.State == StateLeaving) {
		h := other.Host
		c := Change{
			Name: h.Name, Era: other.Last.Era, Revision: other.Last.Revision, Created: other.First.Revision, Host: &h,
		}
		r.deferHost(now, &c, addressInUse, l)
	}
	r.setState(now, other, StateGone)
}

// replaces reports whether the server of other had ended when that of l started, so that nothing answers for it any longer.
// Both have the same name or address. The order in the store alone does not tell, because a report may be written after that
// of a later start; the start times alone do not tell either, because the clock of a server may have been set back.
func (r *Registry) replaces(l, other *Lifetime) bool {
	if l.Name == other.Name && l.Address == other.Address && l.Service == other.Service {
		return false // The later start receives the packets for the former one, and resets the flows that it does not hold.
	}
	return l.Started > other.Started && r.isAfter(l.First, other.Last)
}

// isAfter reports whether a change at p was certainly made after one at q.
func (r *Registry) isAfter(p, q history.Position) bool {
	return p.After(q) || p.Era > q.Era && p.Era == r.base.Era && p.Revision > r.base.Revision
}

// markReplaced records that the server of a lifetime has ended, because a later one has its name or its address.
func (r *Registry) markReplaced(former, later *Lifetime) {
	if former.Replaced {
		return
	}
	former.Replaced = true
	if r.OnReplaced != nil {
		r.OnReplaced(former, later)
	}
}

// first returns the position at which the start of a listed server was first listed, as far as it is known.
func (r *Registry) first(c *Change) history.Position {
	switch l := r.names[c.Name]; {
	case l == nil:
		return history.Position{Era: c.Era, Revision: max(c.Created, 1)}
	case l.Started != c.Host.Started:
		return c.position() // The entry may have been created for the earlier start.
	case l.First.Era == c.Era:
		return l.First
	default:
		return history.Position{Era: c.Era, Revision: min(l.First.Revision, c.Revision)}
	}
}
