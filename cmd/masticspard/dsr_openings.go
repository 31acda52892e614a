package main

import (
	"time"

	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
)

// lateShare is the age of the state, as a share of the bound, from which an opening packet to a server that turns out to
// be leaving is logged. Such a packet may have been close to the bound.
const lateShare = 0.5

// outdatedShare is the age of the state, as a share of the bound, from which SYNs are held while changes are missing that
// others have announced: a server could be leaving, its zone evacuated or its route removed.
const outdatedShare = 0.9

// announcementTimeout is how long an announcement shows that others have newer state. They repeat it every 0.5 s.
const announcementTimeout = time.Second

// openings remembers what is needed to trace an opening packet that reached a leaving server.
type openings struct {
	last         map[uint32]time.Duration // time of the last SYN that was forwarded to the server of a token
	announcement announcement             // last one received
}

// announcement is an announcement of another entry VM.
type announcement struct {
	source   string
	position history.Position
	at       time.Duration
}

func (o *openings) record(now time.Duration, token uint32) {
	if o.last == nil {
		o.last = map[uint32]time.Duration{}
	}
	o.last[token] = now
}

// outdated reports whether this entry VM must not open flows, because it is about to exceed the bound of the state with
// changes missing that others have. While the store is down for all, nobody announces anything newer, and flows are
// opened with the last state.
func (d *dsrDaemon) outdated(now time.Duration) bool {
	a := &d.openings.announcement
	return d.replica != nil && a.source != "" && now-a.at < announcementTimeout &&
		a.position.Compare(d.replica.Position()) > 0 &&
		float64(d.age()) >= outdatedShare*float64(d.settings.Bound())
}

// logLateOpening logs an opening packet that was forwarded to a server shortly before this entry VM learned that the
// server is leaving or gone. The age of the state bounds how long ago the store acknowledged the change.
func (d *dsrDaemon) logLateOpening(now time.Duration, l *registry.Lifetime) {
	opened, ok := d.openings.last[l.Token]
	if !ok || l.State != registry.StateLeaving && l.State != registry.StateGone || d.replica == nil {
		return
	}
	age := d.age()
	if now-opened > age || float64(age) < lateShare*float64(d.settings.Bound()) {
		return
	}
	d.counters.Add("late-openings", 1)
	a := &d.openings.announcement
	d.log.Warn("late-opening", zap.String("host", l.Name), zap.Uint32("token", l.Token), zap.Stringer("state", l.State),
		zap.Duration("since-opening", now-opened), zap.Duration("picture-age", age),
		zap.Stringer("picture", d.replica.Position()), zap.Stringer("changed-at", l.Last),
		zap.String("announced-by", a.source), zap.Stringer("announced", a.position),
		zap.Duration("since-announcement", now-a.at), zap.String("calls", d.replica.Calls()),
		zap.Bool("store-down", d.replica.StoreDown()))
}
