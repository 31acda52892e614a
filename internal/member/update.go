package member

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// apply merges an update about a member into the list. The argument direct reports whether the member itself sent it;
// trusted reports whether the sender's view replaces the outdated view of this process.
func (l *List) apply(now time.Duration, u Member, direct, trusted bool) {
	if u.Name == l.Self.Name {
		l.applySelf(now, u, direct)
		return
	}
	r := l.records[u.Name]
	switch {
	case r == nil:
		// Other members may still list a dead member that was removed here; if it were added again, it would never be removed
		// everywhere.
		if u.State == StateDead || !l.claimAddress(now, u) {
			return
		}
		r = &record{firstSeen: now}
		l.insert(u.Name, r)
	case u.Incarnation < r.Incarnation:
		duplicate := direct && u.Control != r.Control && r.Live() && now-r.firstSeen >= duplicateAfter
		if duplicate {
			l.reportDuplicate(now, u)
		}
		return
	case u.Incarnation == r.Incarnation && u.State <= r.State:
		if direct && r.State == StateLeaving { // A leaving member refutes a suspicion without a new incarnation.
			r.suspected = false
		}
		return
	case u.State == StateDead && r.State <= StateSuspect && !trusted:
		// The member may be reachable from here although it is not from the sender, as after a partition. It is only
		// suspected, so that it has time to refute.
		u.State = StateSuspect
		if r.suspected && u.Incarnation == r.Incarnation {
			return
		}
	}
	if u.Live() && !l.claimAddress(now, u) {
		return
	}
	l.set(now, r, u)
}

// applySelf handles an update about this process; it refutes a suspicion by a higher incarnation.
func (l *List) applySelf(now time.Duration, u Member, direct bool) {
	if u.Control != l.Self.Control {
		l.applyNamesake(now, u, direct)
		return
	}
	wrong := u.Incarnation == l.Self.Incarnation && (u.State == StateSuspect || u.State == StateDead)
	if u.Incarnation > l.Self.Incarnation || wrong {
		l.Counters.Add("member-refuted", 1)
		l.raiseIncarnation(u.Incarnation)
	}
}

// applyNamesake handles an update about a process at another address that has the name of this one: its predecessor, or
// a second one that runs by mistake. The process with the higher incarnation keeps the name.
func (l *List) applyNamesake(now time.Duration, u Member, direct bool) {
	higher := u.Incarnation > l.Self.Incarnation ||
		u.Incarnation == l.Self.Incarnation && u.Control.Compare(l.Self.Control) > 0
	switch {
	case higher && u.State == StateDead:
		l.replaced = false
		l.raiseIncarnation(u.Incarnation)
	case higher:
		l.reportDuplicate(now, u)
		if !l.replaced {
			l.replaced = true
			l.reportChange(l.Self)
		}
	case direct:
		l.reportDuplicate(now, u)
	}
}

// reportDuplicate counts and logs that two live processes use one name.
func (l *List) reportDuplicate(now time.Duration, u Member) {
	l.Counters.Add("member-duplicate-name", 1)
	if now < l.duplicateAt {
		return
	}
	l.duplicateAt = now + duplicatePeriod
	if l.Logger != nil {
		l.Logger.Error("two live processes use one member name", zap.String("member", u.Name),
			zap.Stringer("control-address", u.Control), zap.Uint64("incarnation", u.Incarnation))
	}
}

// claimAddress reports whether u is the latest process at its control address; if so, it marks its predecessor as dead.
func (l *List) claimAddress(now time.Duration, u Member) bool {
	holder := l.byAddr[u.Control]
	if holder == l.Self.Name {
		return false
	}
	if r := l.records[holder]; r != nil && holder != u.Name && r.Live() {
		if r.Incarnation >= u.Incarnation {
			l.Counters.Add("member-address-taken", 1)
			return false
		}
		dead := r.Member
		dead.State = StateDead
		l.set(now, r, dead)
	}
	l.byAddr[u.Control] = u.Name
	return true
}

func (l *List) insert(name string, r *record) {
	l.records[name] = r
	i, _ := slices.BinarySearch(l.names, name)
	l.names = slices.Insert(l.names, i, name)
	l.order = slices.Insert(l.order, l.rand.IntN(len(l.order)+1), name)
}

func (l *List) forget(r *record) {
	delete(l.records, r.Name)
	l.names = slices.DeleteFunc(l.names, func(n string) bool { return n == r.Name })
	l.queue = slices.DeleteFunc(l.queue, func(q *record) bool { return q == r })
	if l.byAddr[r.Control] == r.Name {
		delete(l.byAddr, r.Control)
	}
	l.Counters.Add("member-forgotten", 1)
	l.reportChange(r.Member)
}

// set changes r to u and queues the update.
func (l *List) set(now time.Duration, r *record, u Member) {
	if r.Control != u.Control {
		r.firstSeen = now
		if l.byAddr[r.Control] == u.Name {
			delete(l.byAddr, r.Control)
		}
	}
	if r.Name == "" || r.State != u.State {
		l.Counters.Add("member-"+u.State.String(), 1)
	}
	r.Member = u
	r.stateSince = now
	r.retryDue = now + retryPeriod
	r.suspected = u.State == StateSuspect
	l.enqueue(r)
	l.reportChange(u)
}

// suspect marks r as suspected and starts the time within which it can refute.
func (l *List) suspect(now time.Duration, r *record) {
	if !r.Live() || r.suspected {
		return
	}
	if r.State == StateAlive {
		u := r.Member
		u.State = StateSuspect
		l.set(now, r, u)
	}
	r.stateSince, r.suspected = now, true
	// Each process starts to wait for the refutation when it receives the suspicion, so slow spreading delays the death.
	l.sendNotices()
}

// correction returns the record of the receiver of a message if the receiver must refute or update it, or nil. The
// argument to is the state that the receiver last sent.
func (l *List) correction(to Member) *record {
	r := l.records[to.Name]
	if r == nil || r.Incarnation < to.Incarnation {
		return nil
	}
	if r.Incarnation > to.Incarnation || r.State == StateSuspect || r.State == StateDead {
		return r
	}
	return nil
}
