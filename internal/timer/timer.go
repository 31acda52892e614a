package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"
)

// DefaultPauseThreshold is the default of Service.PauseThreshold.
const DefaultPauseThreshold = time.Second

// Service provides monotonic time and calls its subscribers periodically. It is safe for concurrent use.
type Service struct {
	// Source returns the monotonic time; nil selects the clock that Advance and Skip advance.
	Source func() time.Duration
	// PauseThreshold is the time between two checks above which the process is considered to have been paused;
	// zero selects DefaultPauseThreshold.
	PauseThreshold time.Duration

	checking sync.Mutex // Held by Check until the pause handlers have returned.

	mu            sync.Mutex
	manualNow     time.Duration
	lastCheck     time.Duration
	nextID        int
	subscriptions []*subscription
	pauseHandlers []*pauseHandler
}

type subscription struct {
	id     int
	period time.Duration
	due    time.Duration
	call   func(now time.Duration)
}

type pauseHandler struct {
	id   int
	call func(now, gap time.Duration)
}

// New returns a service that calls Tick every interval from its own goroutine, and a function that stops the goroutine.
func New(interval time.Duration) (*Service, func()) {
	s := &Service{Source: sinceBoot()}
	var tb tomb.Tomb
	tb.Go(func() error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.Tick()
			case <-tb.Dying():
				return nil
			}
		}
	})
	return s, func() {
		tb.Kill(nil)
		_ = tb.Wait()
	}
}

// sinceBoot returns a clock that starts at zero. The clock continues while the machine is suspended, so that a
// suspension is detected as a pause.
func sinceBoot() func() time.Duration {
	var start unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &start); err != nil {
		monotonic := time.Now()
		return func() time.Duration { return time.Since(monotonic) }
	}
	return func() time.Duration {
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
			panic(err) // Cannot fail, as the same call has succeeded before.
		}
		return time.Duration(now.Nano() - start.Nano())
	}
}

// Now returns the time since the service started.
func (s *Service) Now() time.Duration {
	if s.Source != nil {
		return s.Source()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manualNow
}

// Subscribe calls f once per period until the returned function is called.
func (s *Service) Subscribe(period time.Duration, f func(now time.Duration)) func() {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.subscriptions = append(s.subscriptions, &subscription{id: id, period: period, due: now + period, call: f})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, u := range s.subscriptions {
			if u.id == id {
				s.subscriptions = append(s.subscriptions[:i:i], s.subscriptions[i+1:]...)
				return
			}
		}
	}
}

// OnPause calls f after each detected pause until the returned function is called; gap is the time between the two
// checks around the pause.
func (s *Service) OnPause(f func(now, gap time.Duration)) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.pauseHandlers = append(s.pauseHandlers, &pauseHandler{id: id, call: f})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, p := range s.pauseHandlers {
			if p.id == id {
				s.pauseHandlers = append(s.pauseHandlers[:i:i], s.pauseHandlers[i+1:]...)
				return
			}
		}
	}
}

// Check reports whether the process was paused since the last check and, if so, calls the pause handlers before it
// returns. If another goroutine is running the handlers, Check waits for them, because the caller would otherwise use
// state from before that pause. The handlers must not call Check.
func (s *Service) Check() bool {
	s.checking.Lock()
	defer s.checking.Unlock()
	now := s.Now()
	s.mu.Lock()
	threshold := s.PauseThreshold
	if threshold == 0 {
		threshold = DefaultPauseThreshold
	}
	gap := now - s.lastCheck
	s.lastCheck = max(now, s.lastCheck)
	var handlers []*pauseHandler
	if gap > threshold {
		handlers = append(handlers, s.pauseHandlers...)
	}
	s.mu.Unlock()
	for _, p := range handlers {
		p.call(now, gap)
	}
	return gap > threshold
}

// Tick checks for a pause and calls each subscriber that is due, once.
func (s *Service) Tick() {
	s.Check()
	s.run(s.Now())
}

// Advance advances the clock of a service without a Source by d and calls the subscribers at the times at which they
// are due.
func (s *Service) Advance(d time.Duration) {
	end := s.Now() + d
	for {
		due, ok := s.nextDue(end)
		if !ok {
			break
		}
		s.advanceTo(due)
		s.Tick()
	}
	s.advanceTo(end)
	s.Check()
}

// Skip advances the clock of a service without a Source by d without calling subscribers, as in a pause of the process.
func (s *Service) Skip(d time.Duration) {
	s.advanceTo(s.Now() + d)
}

func (s *Service) advanceTo(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manualNow = max(s.manualNow, now)
}

// nextDue returns the earliest time at which a subscriber is due, and reports whether there is one up to end.
func (s *Service) nextDue(end time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due, ok := end, false
	for _, u := range s.subscriptions {
		if u.due <= due {
			due, ok = u.due, true
		}
	}
	return due, ok
}

// run calls the subscribers that are due at now.
func (s *Service) run(now time.Duration) {
	s.mu.Lock()
	var due []*subscription
	for _, u := range s.subscriptions {
		if u.due > now {
			continue
		}
		due = append(due, u)
		u.due += u.period
		if u.due <= now { // Periods that passed in a pause are skipped.
			u.due = now + u.period
		}
	}
	s.mu.Unlock()
	for _, u := range due {
		u.call(now)
	}
}
