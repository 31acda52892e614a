package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"
)

// DefaultPauseThreshold is the distance between two checks above which the process counts as paused.
const DefaultPauseThreshold = time.Second

// Service hands out monotonic time and calls its subscribers when their period has passed.
type Service struct {
	// Source returns the monotonic reading; nil selects the reading that Advance moves.
	Source func() time.Duration
	// PauseThreshold is the distance between two checks above which the process counts as paused;
	// zero selects DefaultPauseBound.
	PauseThreshold time.Duration

	checking sync.Mutex // held by Check until the pause handlers have returned

	mu            sync.Mutex
	manualNow     time.Duration
	lastCheck     time.Duration
	nextID        int
	subscriptions []*subscription
	pauses        []*pauseHandler
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

// New returns a service that ticks every interval from its own goroutine, and the function that stops it.
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

// sinceBoot returns a clock that starts at zero. It goes on while the machine is suspended, so that a suspension is seen
// as a pause.
func sinceBoot() func() time.Duration {
	var start unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &start); err != nil {
		monotonic := time.Now()
		return func() time.Duration { return time.Since(monotonic) }
	}
	return func() time.Duration {
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
			panic(err) // The same call has worked before.
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

// OnPause calls f after each detected pause until the returned function is called.
func (s *Service) OnPause(f func(now, gap time.Duration)) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.pauses = append(s.pauses, &pauseHandler{id: id, call: f})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, p := range s.pauses {
			if p.id == id {
				s.pauses = append(s.pauses[:i:i], s.pauses[i+1:]...)
				return
			}
		}
	}
}

// Check looks for a pause since the last check, calls the pause handlers if there was one, and
// reports whether there was one. It returns after the handlers of a pause that another goroutine found, because the
// caller would otherwise act on the view from before that pause. The handlers must not call it.
func (s *Service) Check() bool {
	s.checking.Lock()
	defer s.checking.Unlock()
	now := s.Now()
	s.mu.Lock()
	bound := s.PauseThreshold
	if bound == 0 {
		bound = DefaultPauseThreshold
	}
	gap := now - s.lastCheck
	s.lastCheck = max(now, s.lastCheck)
	var handlers []*pauseHandler
	if gap > bound {
		handlers = append(handlers, s.pauses...)
	}
	s.mu.Unlock()
	for _, p := range handlers {
		p.call(now, gap)
	}
	return gap > bound
}

// Tick checks for a pause and calls each subscriber whose period has passed, once.
func (s *Service) Tick() {
	s.Check()
	s.run(s.Now())
}

// Advance moves the manual reading by d and calls subscribers at the times at which they are due.
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

// Skip moves the manual reading by d without calling any subscriber, as if the process had been paused.
func (s *Service) Skip(d time.Duration) {
	s.advanceTo(s.Now() + d)
}

func (s *Service) advanceTo(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manualNow = max(s.manualNow, now)
}

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

func (s *Service) run(now time.Duration) {
	s.mu.Lock()
	var due []*subscription
	for _, u := range s.subscriptions {
		if u.due > now {
			continue
		}
		due = append(due, u)
		u.due += u.period
		if u.due <= now { // Periods missed in a pause are not made up.
			u.due = now + u.period
		}
	}
	s.mu.Unlock()
	for _, u := range due {
		u.call(now)
	}
}
