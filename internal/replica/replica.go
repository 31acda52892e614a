package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/registry"
)

// Errors of a store that Read and Watch return; all others count as unreachable.
const (
	ErrForgotten = errors.ConstError("the store has dropped this history")
	ErrRefused   = errors.ConstError("the store refused the call")
)

const (
	// readTimeout bounds one call that the store answers at once; a slow store takes up to 0.25 s.
	readTimeout = 1500 * time.Millisecond
	// watchMargin is how much later than asked a waiting call may be answered.
	watchMargin = 700 * time.Millisecond
	// firstDelay and lastDelay bound the time between two tries; every call counts against the limit of the store.
	firstDelay = 100 * time.Millisecond
	lastDelay  = 1200 * time.Millisecond
	// peerDelay is how long a fresh process waits for the first page of the store before it asks another process. A whole
	// fleet that starts at once would otherwise read the pictures of the few contacts.
	peerDelay = 150 * time.Millisecond
	// askPeriod is the time between two pictures of other processes.
	askPeriod = 3 * time.Second
	// idlePause is the time between two looks whether this process has to read.
	idlePause = 200 * time.Millisecond
	// recentAway is how long after an outage a vanished entry may only have lapsed.
	recentAway = 4 * time.Second
)

// Page is a part of the published state or a list of changes to it.
type Page struct {
	// Changes are the entries or changes in order.
	Changes []registry.Change
	// Revision is the revision of the store to continue from.
	Revision uint64
	// Next continues the reading; empty at its end.
	Next string
}

// Config has the seams and settings of a Replica.
type Config struct {
	// Read returns the page after the given position; empty for the first one.
	Read func(ctx context.Context, after string) (Page, error)
	// Watch returns changes after the revision as soon as there is one, or none after the wait.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Configuration returns the configuration alone.
	Configuration func(ctx context.Context) (Page, error)
	// Peer returns a complete reading of another process; it is asked when the store does not answer, and may be nil.
	Peer func(ctx context.Context) (Page, error)
	// Replace takes a complete reading at a revision; away says that the store was away within the last moments.
	Replace func(changes []registry.Change, revision uint64, away bool)
	// Apply takes the changes after since up to revision, in order; there may be none.
	Apply func(changes []registry.Change, since, revision uint64, away bool)
	// Adopt takes the reading of another process at a revision. It may be older than what is known; otherwise it is complete,
	// and servers that it does not name are gone.
	Adopt func(changes []registry.Change, revision uint64, complete bool)
	// ShouldRead reports whether this process has to wait for changes itself; nil says that it has.
	ShouldRead func() bool
	// Lost and Regained are called once for each outage.
	Lost     func(reason error)
	Regained func(outage time.Duration)
	// Now returns the monotonic time.
	Now func() time.Duration
	// Wait is the longest wait for a change.
	Wait time.Duration
	// Collect is the pause after an answer that had changes.
	Collect time.Duration
	// Counters counts calls and retries by reason; it may be nil.
	Counters *counter.Set
}

// Replica follows the state of one store.
type Replica struct {
	Config
	tb tomb.Tomb

	mu            sync.Mutex
	revision      uint64
	synced        bool
	configuration bool // the configuration alone is to be read
	reading       reading

	away     bool          // the last call failed
	awayFrom time.Duration // start of the current outage
	awayTo   time.Duration // end of the last outage
	wasAway  bool
	failures int
	asked    time.Duration // when the last picture came
}

// reading is a complete reading that is under way. The store may refuse a page of it, because all processes of a large
// fleet read at the same time; the next try goes on with this page.
type reading struct {
	next     string // position of the next page; empty before the first one
	revision uint64 // of the first page: the pages are no snapshot, and changes since then come with the first wait
	changes  []registry.Change
}

// New starts to follow the store; the second result stops it.
func New(c Config) (*Replica, func()) {
	r := &Replica{Config: c}
	ctx := r.tb.Context(context.Background())
	r.tb.Go(func() error {
		for r.tb.Alive() {
			if pause := r.step(ctx); pause > 0 {
				select {
				case <-time.After(pause):
				case <-r.tb.Dying():
				}
			}
		}
		return nil
	})
	return r, func() {
		r.tb.Kill(nil)
		_ = r.tb.Wait()
	}
}

// Revision returns the revision up to which the state is known.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Advance takes note that the changes up to a revision came from another process.
func (r *Replica) Advance(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

// Resync makes the next step a complete reading, or one of the configuration alone.
func (r *Replica) Resync(configurationOnly bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if configurationOnly {
		r.configuration = true
	} else {
		r.synced, r.reading = false, reading{}
	}
}

// step makes one call or one reading and returns the pause before the next.
func (r *Replica) step(ctx context.Context) time.Duration {
	r.mu.Lock()
	synced, configuration := r.synced, r.configuration
	r.configuration = false
	r.mu.Unlock()
	switch {
	case !synced:
		return r.read(ctx)
	case configuration:
		return r.readConfiguration(ctx)
	case r.ShouldRead != nil && !r.ShouldRead():
		return idlePause
	}
	return r.watch(ctx)
}

func (r *Replica) readConfiguration(ctx context.Context) time.Duration {
	r.Counters.Add("store-reads", 1)
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := r.Configuration(call)
	if err != nil {
		r.Resync(true)
		pause := r.failed(err)
		r.ask(ctx)
		return pause
	}
	r.succeeded()
	revision := r.Revision()
	r.Apply(page.Changes, revision, revision, r.recentlyAway())
	return 0
}

// read makes or goes on with a complete reading.
func (r *Replica) read(ctx context.Context) time.Duration {
	r.mu.Lock()
	current, fresh := r.reading, r.revision == 0
	r.mu.Unlock()
	for {
		answered := func() {}
		if fresh && current.next == "" && r.Peer != nil {
			answered = r.hedge(ctx)
		}
		page, err := r.page(ctx, current.next)
		answered()
		if err != nil {
			return r.interrupted(ctx, current, err)
		}
		if fresh && page.Next != "" && r.adopted() {
			return 0 // Another process was faster than the rest would be.
		}
		if current.next == "" {
			current.revision = page.Revision
		}
		current.changes = append(current.changes, page.Changes...)
		if current.next = page.Next; current.next == "" {
			break
		}
	}
	r.succeeded()
	r.Replace(current.changes, current.revision, r.recentlyAway())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision, r.synced, r.reading = max(r.revision, current.revision), true, reading{}
	return 0
}

func (r *Replica) page(ctx context.Context, after string) (Page, error) {
	r.Counters.Add("store-reads", 1)
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := r.Now()
	page, err := r.Read(call, after)
	r.Counters.Observe("store-read", r.Now()-started)
	return page, err
}

// interrupted keeps a reading that the store did not let finish, and asks another process meanwhile.
func (r *Replica) interrupted(ctx context.Context, current reading, err error) time.Duration {
	r.mu.Lock()
	r.reading = current
	r.mu.Unlock()
	pause := r.failed(err)
	if !r.adopted() {
		r.ask(ctx)
	}
	return pause
}

// adopted reports whether the state is known, which another process may have told while the store was read.
func (r *Replica) adopted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// hedge asks another process for its picture if the store does not answer soon; the result ends that.
func (r *Replica) hedge(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	r.tb.Go(func() error {
		defer close(done)
		select {
		case <-time.After(peerDelay):
			r.ask(ctx)
		case <-ctx.Done():
		}
		return nil
	})
	return func() {
		cancel()
		<-done
	}
}

func (r *Replica) watch(ctx context.Context) time.Duration {
	r.Counters.Add("store-watches", 1)
	call, cancel := context.WithTimeout(ctx, r.Wait+watchMargin)
	defer cancel()
	since := r.Revision()
	page, err := r.Watch(call, since, r.Wait)
	if errors.Is(err, ErrForgotten) {
		r.Counters.Add("store-retry-forgotten", 1)
		r.Resync(false)
		return 0
	}
	if err != nil {
		return r.failed(err)
	}
	r.succeeded()
	r.Apply(page.Changes, since, max(since, page.Revision), r.recentlyAway())
	r.Advance(page.Revision)
	if len(page.Changes) == 0 {
		return 0
	}
	return r.Collect
}

// ask puts the reading of another process in force, while the store does not answer. The other process may not have read a
// configuration that it was told of, so that the one in the store is read as soon as the store answers.
func (r *Replica) ask(ctx context.Context) {
	if r.Peer == nil || r.asked > 0 && r.Now()-r.asked < askPeriod {
		return
	}
	r.Counters.Add("peer-reads", 1)
	page, err := r.Peer(ctx)
	if err != nil {
		r.Counters.Add("peer-retry-unreachable", 1)
		return
	}
	if ctx.Err() != nil {
		return // The store was faster.
	}
	r.asked = r.Now()
	complete := page.Revision >= r.Revision()
	r.Adopt(page.Changes, page.Revision, complete)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configuration = true
	if complete && !r.synced {
		r.revision, r.synced, r.reading = max(r.revision, page.Revision), true, reading{}
	}
}

func (r *Replica) failed(err error) time.Duration {
	if !r.tb.Alive() {
		return 0 // The call was ended by the stop.
	}
	reason := "unreachable"
	switch {
	case errors.Is(err, ErrRefused):
		reason = "refused"
	case errors.Is(err, context.DeadlineExceeded):
		reason = "timeout"
	}
	r.Counters.Add("store-retry-"+reason, 1)
	if !r.away {
		r.away, r.wasAway, r.awayFrom = true, true, r.Now()
		r.Lost(err)
	}
	r.failures++
	delay := min(lastDelay, firstDelay<<min(r.failures-1, 8))
	return delay/2 + rand.N(delay/2)
}

func (r *Replica) succeeded() {
	r.failures = 0
	if !r.away {
		return
	}
	r.away, r.awayTo = false, r.Now()
	r.Regained(r.awayTo - r.awayFrom)
}

func (r *Replica) recentlyAway() bool {
	return r.away || r.wasAway && r.Now()-r.awayTo < recentAway
}
