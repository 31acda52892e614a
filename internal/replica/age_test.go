package replica

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
)

// Guards against a reply that counts as a confirmation of a later time than that at which the store gave it.
func TestConfirmationIsNotLaterThanReply(t *testing.T) {
	const wait = 3 * time.Second
	for name, test := range map[string]struct {
		took    time.Duration
		changes int
		want    time.Duration // after the start of the call
	}{
		"no changes":             {3100 * time.Millisecond, 0, wait},
		"early without changes":  {time.Second, 0, time.Second},
		"changes":                {time.Second, 1, time.Second - maxReplyTime},
		"changes returned early": {10 * time.Millisecond, 1, 0},
	} {
		now := time.Minute
		s := newStubStore()
		c := s.config()
		c.Now = func() time.Duration { return now }
		c.Watch = func(context.Context, uint64, time.Duration) (Page, error) {
			now += test.took
			return Page{Revision: 6, Changes: make([]registry.Change, test.changes)}, nil
		}
		var applied time.Duration
		c.Apply = func(_ []registry.Change, _, _ history.Position, confirmedAt time.Duration, _ bool) {
			applied = confirmedAt
		}
		r := &Replica{Config: c, synced: true, at: history.Position{Revision: 5}}
		if _, err := r.readChanges(context.Background(), wait, wait); err != nil {
			t.Fatal(err)
		}
		want := time.Minute + test.want
		if age, ok := r.Age(); applied != want || !ok || age != now-want {
			t.Errorf("%s: confirmed at %v with age %v, want %v with age %v", name, applied, age, want, now-want)
		}
	}
}

// Guards against hundreds of processes that repeat their call soon while the store replies to none of them.
func TestFailedPollIsRepeatedLate(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	c.MaxPollDelay = 3 * time.Second
	c.ShouldRead = func() bool { return false }
	c.PollDelay = func() time.Duration { return 0 }
	c.Watch = func(context.Context, uint64, time.Duration) (Page, error) { return Page{}, ErrRefused }
	r := &Replica{Config: c, synced: true}
	for range 10 {
		delay := r.step(context.Background())
		is.True(delay >= c.MaxPollDelay/2)
		is.True(delay <= c.MaxPollDelay)
	}
}

// Guards against a process that does not watch the store and reads it although its state is young, or although it is
// about to fetch the state of a restored store.
func TestPollsOnlyWhenDue(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	now := time.Minute
	c.Now = func() time.Duration { return now }
	c.ShouldRead = func() bool { return false }
	r := &Replica{synced: true, at: history.Position{Revision: 5}}
	c.PollDelay = func() time.Duration {
		age, _ := r.Age()
		return time.Second - age
	}
	calls := 0
	c.Watch = func(context.Context, uint64, time.Duration) (Page, error) {
		calls++
		return Page{Revision: 5}, nil
	}
	r.Config = c
	r.Confirm(0, now)
	now += 950 * time.Millisecond
	is.Equal(r.step(context.Background()), 50*time.Millisecond)
	now += 50 * time.Millisecond
	r.FetchState(1)
	r.stateAt = now + stateSpread
	is.Equal(r.step(context.Background()), roleCheckInterval)
	is.Equal(calls, 0)
	r.stateDue = false
	r.step(context.Background())
	is.Equal(calls, 1)
	is.Equal(r.step(context.Background()), roleCheckInterval) // The poll confirmed the state.
}

// Guards against a process that treats removed servers as lapsed for the rest of its life, because a call failed when it
// substituted for the readers and it has made none since.
func TestOutageEndsWhenOthersConfirm(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	now := time.Minute
	c.Now = func() time.Duration { return now }
	c.ShouldRead = func() bool { return false }
	r := &Replica{Config: c, synced: true}
	r.recordFailure(ErrRefused, now)
	s.expect(t, "lost")
	r.Confirm(0, now-time.Second)
	r.step(context.Background())
	is.True(r.StoreDown())
	now += time.Second
	r.Confirm(0, now)
	r.step(context.Background())
	s.expect(t, "regained")
	now += outageGracePeriod
	is.True(!r.StoreDown())
}

// Guards against the state of a restored store that counts as confirmed since before it was restored.
func TestConfirmationOfEarlierEraDoesNotCount(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	now := time.Minute
	c.Now = func() time.Duration { return now }
	r := &Replica{Config: c, synced: true, at: history.Position{Revision: 5}}
	r.Confirm(0, now)
	r.complete(history.Position{Era: 1, Revision: 3}, now-10*time.Second)
	age, _ := r.Age()
	is.Equal(age, 10*time.Second)
	r.stateDue = true
	r.complete(history.Position{Era: 2, Revision: 3}, now-10*time.Second)
	is.True(!r.stateDue) // It need not be fetched any more.
	r.Confirm(0, now)    // It was received before the state of the restored store.
	age, _ = r.Age()
	is.Equal(age, 10*time.Second)
	r.complete(history.Position{Era: 2, Revision: 4}, now-20*time.Second)
	age, _ = r.Age()
	is.Equal(age, 10*time.Second)
}

// Guards against the state of another process that counts as just confirmed at a process that starts with it.
func TestStateOfOtherProcessKeepsItsAge(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	now := time.Minute
	c.Now = func() time.Duration { return now }
	c.Bootstrap = func(context.Context) (Page, error) { return Page{Revision: 5, ConfirmedAt: now - 2*time.Second}, nil }
	r := &Replica{Config: c}
	r.bootstrap(context.Background())
	age, ok := r.Age()
	is.True(ok)
	is.Equal(age, 2*time.Second)
	c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: 5, ConfirmedAt: now - time.Second}, nil }
	r.Config = c
	r.adoptPeer(context.Background())
	age, _ = r.Age()
	is.Equal(age, time.Second)
}

// Guards against a reader that starts with the state of another process and confirms it only after a whole watch.
func TestFirstWatchConfirmsStateInTime(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	now := time.Minute
	c.Now = func() time.Duration { return now }
	var waits []time.Duration
	c.Watch = func(_ context.Context, _ uint64, wait time.Duration) (Page, error) {
		waits = append(waits, wait)
		return Page{Revision: 5}, nil
	}
	r := &Replica{Config: c, synced: true, at: history.Position{Revision: 5}}
	r.Confirm(0, now-20*time.Second)
	r.watch(context.Background())
	r.watch(context.Background())
	is.Equal(waits, []time.Duration{40 * time.Second, time.Minute})
}
