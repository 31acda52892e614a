package announce

import (
	"math/bits"
	"time"

	"github.com/masticspar/masticspar/internal/history"
)

const (
	// watchShare is the longest time between two confirmations of the store to a reader, as a share of Group.Bound.
	watchShare = 0.4
	// substituteShare is the age of the state at which the first substitute polls the store, as a share of Group.Bound.
	substituteShare = 0.5
	// lastSubstituteShare is the age at which the last ones do. A call that gets no reply, and its repetition by others, follow
	// within the bound.
	lastSubstituteShare = 0.65
	// substituteStep is the time between two groups of substitutes. A working store replies to the first one within it, and the
	// announcement stops the others.
	substituteStep = 60 * time.Millisecond
)

func (g *Group) share(of float64) time.Duration { return time.Duration(of * float64(g.Bound)) }

// WatchTimeout returns how long the store may delay its reply to a watch of this entry VM, at most longest. Each reply
// confirms the state of the entry VMs that do not watch the store themselves.
func (g *Group) WatchTimeout(longest time.Duration) time.Duration {
	if len(g.zone) < readersPerZone {
		return longest
	}
	return min(longest, g.share(watchShare))
}

// PollAge returns the age of its state at which this entry VM has to substitute for the readers. The entry VMs of a zone do
// so in the order of their ranks, one at first and then twice as many at each step, and announce what they read. So the
// calls are at most about twice those that get no reply, and a zone of 127 entry VMs takes 7 steps.
func (g *Group) PollAge() time.Duration {
	turn := bits.Len(uint(max(0, g.rank-readersPerZone)))
	return min(g.share(substituteShare)+time.Duration(turn)*substituteStep, g.share(lastSubstituteShare))
}

// ConfirmedAt returns when the store confirmed the state of this entry VM, according to the announcements that it received;
// 0 if they do not tell. The state has the position and the version of the configuration.
func (g *Group) ConfirmedAt(at history.Position, version uint64) time.Duration {
	c := &g.confirmed
	if at.Era != c.position.Era || at.Revision < c.position.Revision || version < c.version {
		return 0 // Changes or a configuration are missing.
	}
	return c.at
}

// Substitute makes Tick announce the next Publish although this entry VM is no reader.
func (g *Group) Substitute() { g.substitute, g.batches, g.latest = true, nil, batch{} }
