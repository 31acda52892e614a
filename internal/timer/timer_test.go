package timer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a subscriber that is called at the wrong time or after its cancellation.
func TestAdvanceCallsSubscribersWhenDue(t *testing.T) {
	is := is.New(t)
	var s Service
	var calls []time.Duration
	cancel := s.Subscribe(300*time.Millisecond, func(now time.Duration) { calls = append(calls, now) })
	s.Advance(time.Second)
	is.Equal(calls, []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond})
	cancel()
	s.Advance(time.Second)
	is.Equal(len(calls), 3)
}

// Guards against a process that uses outdated state because Tick has not run since the pause.
func TestCheckDetectsPauseBeforeTick(t *testing.T) {
	is := is.New(t)
	var s Service
	var gaps []time.Duration
	s.OnPause(func(_, gap time.Duration) { gaps = append(gaps, gap) })
	s.Subscribe(100*time.Millisecond, func(time.Duration) {})
	s.Advance(5 * time.Second)
	is.Equal(len(gaps), 0)
	s.Skip(20 * time.Second)
	is.True(s.Check())
	is.True(!s.Check())
	is.Equal(gaps, []time.Duration{20 * time.Second})
}

// Guards against a goroutine that uses outdated state because another one has detected the pause and is still running
// the pause handlers.
func TestCheckWaitsForPauseHandlers(t *testing.T) {
	is := is.New(t)
	var s Service
	started, release := make(chan bool), make(chan bool)
	handled := false
	s.OnPause(func(_, _ time.Duration) {
		close(started)
		<-release
		handled = true
	})
	s.Skip(20 * time.Second)
	first, second := make(chan bool, 1), make(chan bool, 1)
	go func() { first <- s.Check() }()
	<-started
	go func() {
		s.Check()
		second <- handled // The race detector also reports a Check that does not wait.
	}()
	select {
	case <-second:
		close(release)
		t.Fatal("Check returned before the pause handlers, want it to wait for them")
	case <-time.After(10 * time.Millisecond):
	}
	close(release)
	is.True(<-first)
	is.True(<-second)
}
