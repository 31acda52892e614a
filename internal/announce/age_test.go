package announce

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/member"
)

// Guards against an entry VM that takes the state of a reader for current as long as the reader announces it.
func TestAgeOfUnansweredReaderGrows(t *testing.T) {
	is := is.New(t)
	z := newZone(5)
	for _, g := range z.readers() {
		g.publishAt(z.now, 5)
	}
	confirmedAt := z.now
	z.advance(bound) // The readers repeat their announcement.
	is.True(len(z.nonReader().actions) >= 10)
	is.Equal(z.nonReader().confirmedAt, confirmedAt)
	is.True(z.nonReader().shouldRead(z.now))
	for _, g := range z.readers() {
		g.publishAt(z.now, 5)
	}
	confirmedAt = z.now
	z.advance(100 * time.Millisecond) // A confirmation does not wait for the next period.
	is.Equal(z.nonReader().confirmedAt, confirmedAt)
}

// Guards against a reader that continues after a pause of its VM and announces its state as if no time had passed.
func TestPausedReaderAnnouncesItsAge(t *testing.T) {
	is := is.New(t)
	z := newZone(5)
	reader, confirmedAt := z.readers()[0], z.now
	reader.publishAt(confirmedAt, 5)
	z.now += 10 * time.Second
	reader.Tick(z.now)
	is.Equal(len(z.nonReader().actions), 1)
	is.Equal(z.nonReader().confirmedAt, confirmedAt)
}

// Guards against calls of entry VMs that have the confirmations of one reader, while the other one gets no reply.
func TestOneAnsweredReaderSuffices(t *testing.T) {
	is := is.New(t)
	z := newZone(5)
	for _, g := range z.readers() {
		g.publishAt(z.now, 5)
	}
	answered := z.readers()[0]
	for range 10 {
		for range 4 {
			z.advance(bound / 10)
			is.True(!z.nonReader().shouldRead(z.now))
		}
		answered.publishAt(z.now, 5)
	}
}

// Guards against a state that counts as current while changes or a configuration that the sender has are missing.
func TestIncompleteStateIsNotConfirmed(t *testing.T) {
	at := history.Position{Revision: 5}
	for name, test := range map[string]struct {
		m    Message
		want bool
	}{
		"nothing new":         {Message{Since: 5, Revision: 5, Version: 2, Confirms: true}, true},
		"changes applied":     {Message{Since: 4, Revision: 6, Version: 2, Confirms: true}, true},
		"earlier revision":    {Message{Since: 3, Revision: 4, Version: 1, Confirms: true}, true},
		"missing changes":     {Message{Since: 6, Revision: 7, Version: 2, Confirms: true}, false},
		"newer configuration": {Message{Since: 5, Revision: 5, Version: 3, Confirms: true}, false},
		"later era":           {Message{Era: 1, Since: 1, Revision: 1, Version: 2, Confirms: true}, false},
		"part of the changes": {Message{Since: 5, Revision: 6, Version: 2}, false},
	} {
		g := Group{Self: "entry-0", Bound: bound}
		test.m.From, test.m.Age = "entry-1", 300
		a := g.Handle(time.Minute, &test.m, at, 2)
		want := time.Duration(0)
		if test.want {
			want = time.Minute - 300*time.Millisecond
		}
		after := history.Position{Revision: max(at.Revision, a.Position.Revision)}
		if got := g.ConfirmedAt(after, 2); got != want {
			t.Errorf("%s: confirmed at %v, want %v", name, got, want)
		}
	}
}

// Guards against a state that counts as unconfirmed after what was missing has arrived, so that all entry VMs of a zone call
// the store when the configuration has changed or the store was restored.
func TestMissingPartsCompleteConfirmation(t *testing.T) {
	is := is.New(t)
	g := Group{Self: "entry-0", Bound: bound}
	m := &Message{From: "entry-1", Era: 1, Since: 5, Revision: 6, Version: 3, Confirms: true, Age: 300}
	g.Handle(time.Minute, m, history.Position{Revision: 9}, 2)
	for _, missing := range []struct {
		at      history.Position
		version uint64
	}{{history.Position{Revision: 9}, 3}, {history.Position{Era: 1, Revision: 5}, 3}, {history.Position{Era: 1, Revision: 6}, 2}} {
		is.Equal(g.ConfirmedAt(missing.at, missing.version), time.Duration(0))
	}
	confirmedAt := time.Minute - 300*time.Millisecond
	is.Equal(g.ConfirmedAt(history.Position{Era: 1, Revision: 6}, 3), confirmedAt)
	m.Age = 5000 // The confirmation of another reader is older.
	g.Handle(time.Minute, m, history.Position{Era: 1, Revision: 6}, 3)
	is.Equal(g.ConfirmedAt(history.Position{Era: 1, Revision: 6}, 3), confirmedAt)
}

// Guards against a part of a long list of changes that confirms the state although more changes follow.
func TestOnlyLastPartOfChangesConfirms(t *testing.T) {
	is := is.New(t)
	z := newZone(3)
	reader := z.readers()[0]
	var confirmed []bool
	reader.Send = func(_ []member.Member, m *Message) {
		z.deliver(z.nonReader(), m)
		confirmed = append(confirmed, z.nonReader().confirmedAt > 0)
	}
	reader.publishAt(z.now, 20, "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9", "i-10")
	reader.Tick(z.now)
	is.True(len(confirmed) >= 2)
	for i, c := range confirmed {
		is.Equal(c, i == len(confirmed)-1)
	}
}

// Guards against an entry VM that announces what it has read for itself, when it does not substitute for the readers.
func TestSubstituteAnnouncesOneRead(t *testing.T) {
	is := is.New(t)
	z := newZone(5)
	g := z.nonReader()
	g.publishAt(z.now, 5, "i-1")
	for _, other := range z.groups {
		other.revision = 5
	}
	z.advance(period)
	is.Equal(z.sent, 0)
	g.Substitute()
	z.advance(period)
	is.Equal(z.sent, 0) // What was read before is not announced.
	g.publishAt(z.now, 6, "i-2")
	z.advance(2 * repeatPeriod)
	is.True(z.sent > 0)
	for _, other := range z.groups {
		is.True(other == g || slices.Equal(other.applied, []string{"i-2"}))
	}
	sent := z.sent
	g.publishAt(z.now, 7, "i-3")
	z.advance(period)
	is.Equal(z.sent, sent)
	g.Substitute()
	g.StoreLost()
	g.publishAt(z.now, 8, "i-4")
	z.advance(period)
	is.Equal(z.sent, sent)
}

// Guards against a zone whose entry VMs have an outdated state, or all call the store, while the store gives no reply to
// the readers and to some of the others.
func TestSubstitutesKeepZoneCurrent(t *testing.T) {
	const (
		vms, step, call, callTimeout = 60, 10 * time.Millisecond, 20 * time.Millisecond, 700 * time.Millisecond
		length                       = 30 * time.Second
	)
	for _, turnedAway := range []int{0, 10, 19, vms - readersPerZone} { // besides the readers, the first in rank
		z := newZone(vms)
		calls, oldest := 0, time.Duration(0)
		next := map[string]time.Duration{}  // when an entry VM may call again
		reply := map[string]time.Duration{} // when the reply to its call arrives
		for _, g := range z.groups {
			g.confirmedAt, g.revision = z.now, 5
		}
		for end := z.now + length; z.now < end; z.now += step {
			for name, g := range z.groups {
				if at := reply[name]; at > 0 && at <= z.now {
					delete(reply, name)
					g.publishAt(at-call, 5)
				}
				away := g.rank < readersPerZone+turnedAway
				if !g.isReader() && next[name] <= z.now && z.now-g.confirmedAt >= g.PollAge() {
					calls++
					g.Substitute()
					next[name] = z.now + call
					if away {
						g.StoreLost()
						next[name] = z.now + callTimeout + bound/2
					} else {
						reply[name] = z.now + call
					}
				}
				g.Tick(z.now)
				oldest = max(oldest, z.now-g.confirmedAt)
			}
		}
		if most := bound*65/100 + 100*time.Millisecond; oldest > most && turnedAway < vms-readersPerZone {
			t.Errorf("%d turned away: a state has an age of %v, want at most %v", turnedAway, oldest, most)
		}
		// Each period, those that are turned away call in vain, and at most as many others call with the last of them. A call in
		// vain is repeated after half of the bound at the earliest.
		periods, repeats := int(length/(bound/2))+1, int(length/(callTimeout+bound/2))+1
		if most := min(periods*(2*turnedAway+3), repeats*vms); calls > most {
			t.Errorf("%d turned away: %d calls in %v, want at most %d", turnedAway, calls, length, most)
		}
	}
}

// Guards against a reader without followers that is charged for confirmations nobody needs, and against one whose
// confirmations are further apart than the age at which others call the store.
func TestWatchTimeoutFollowsZone(t *testing.T) {
	is := is.New(t)
	longest := 3 * time.Second
	is.Equal(newZone(2).readers()[0].WatchTimeout(longest), longest)
	z := newZone(3)
	is.Equal(z.readers()[0].WatchTimeout(longest), 1200*time.Millisecond)
	is.Equal(z.readers()[0].WatchTimeout(time.Second), time.Second)
	const reply, repeat = 250 * time.Millisecond, 20 * time.Millisecond
	is.True(z.readers()[0].WatchTimeout(longest)+reply+repeat < z.nonReader().PollAge())
}

// Guards against an announcement that counts as older or younger than it is.
func TestImplausibleAgeIsRefused(t *testing.T) {
	is := is.New(t)
	for age, valid := range map[uint64]bool{0: true, maxAge: true, maxAge + 1: false} {
		b, err := Encode(&Message{From: "entry-1", Since: 1, Revision: 1, Confirms: true, Age: age})
		is.NoErr(err)
		_, err = Decode(b)
		is.Equal(err == nil, valid)
	}
	z := newZone(3)
	z.readers()[0].publishAt(z.now, 5)
	z.now += 2 * time.Hour
	z.readers()[0].Tick(z.now)
	is.Equal(z.nonReader().confirmedAt, time.Duration(0))
}
