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
	ErrCompacted = errors.ConstError("the store has dropped this history")
	ErrRefused   = errors.ConstError("the store refused the call")
)

const (
	// readTimeout bounds one call that the store answers at once; a slow store takes up to 0.25 s.
	readTimeout = 1500 * time.Millisecond
	// watchMargin is how much later than asked a waiting call may be answered.
	watchMargin = 700 * time.Millisecond
	// minBackoff and lastDelay bound the time between two tries; every call counts against the limit of the store.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// peerDelay is how long a fresh process waits for the first page of the store before it asks another process. A whole
	// fleet that starts at once would otherwise read the pictures of the few contacts.
	peerDelay = 150 * time.Millisecond
	// peerReadInterval is the time between two pictures of other processes.
	peerReadInterval = 3 * time.Second
	// roleCheckInterval is the time between two looks whether this process has to read.
	roleCheckInterval = 200 * time.Millisecond
	// outageGracePeriod is how long after an outage a vanished entry may only have lapsed.
	outageGracePeriod = 4 * time.Second
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
	// ReadConfiguration returns the configuration alone.
	ReadConfiguration func(ctx context.Context) (Page, error)
	// ReadPeer returns a complete reading of another process; it is asked when the store does not answer, and may be nil.
	ReadPeer func(ctx context.Context) (Page, error)
	// Replace takes a complete reading at a revision; away says that the store was away within the last moments.
	Replace func(changes []registry.Change, revision uint64, storeDown bool)
	// Apply takes the changes after since up to revision, in order; there may be none.
	Apply func(changes []registry.Change, since, revision uint64, storeDown bool)
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
	// WatchTimeout is the longest wait for a change.
	WatchTimeout time.Duration
	// BatchDelay is the pause after an answer that had changes.
	BatchDelay time.Duration
	// Counters counts calls and retries by reason; it may be nil.
	Counters *counter.Set
}

// Replica follows the state of one store.
type Replica struct {
	Config
	tb tomb.Tomb

	mu               sync.Mutex
	revision         uint64
	synced           bool
	configurationDue bool // the configuration alone is to be read
	fullRead         fullRead

	storeDown   bool          // the last call failed
	outageStart time.Duration // start of the current outage
	outageEnd   time.Duration // end of the last outage
	hadOutage   bool
	failures    int
	peerReadAt  time.Duration // when the last picture came
}

// fullRead is a complete fullRead that is under way. The store may refuse a page of it, because all processes of a large
// fleet read at the same time; the next try goes on with this page.
type fullRead struct {
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
		r.configurationDue = true
	} else {
		r.synced, r.fullRead = false, fullRead{}
	}
}

// step makes one call or one reading and returns the pause before the next.
func (r *Replica) step(ctx context.Context) time.Duration {
	r.mu.Lock()
	synced, configurationDue := r.synced, r.configurationDue
	r.configurationDue = false
	r.mu.Unlock()
	switch {
	case !synced:
		return r.readAll(ctx)
	case configurationDue:
		return r.readConfiguration(ctx)
	case r.ShouldRead != nil && !r.ShouldRead():
		return roleCheckInterval
	}
	return r.watch(ctx)
}

func (r *Replica) readConfiguration(ctx context.Context) time.Duration {
	r.Counters.Add("store-reads", 1)
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := r.ReadConfiguration(call)
	if err != nil {
		r.Resync(true)
		pause := r.recordFailure(err)
		r.adoptPeer(ctx)
		return pause
	}
	r.recordSuccess()
	revision := r.Revision()
	r.Apply(page.Changes, revision, revision, r.recentOutage())
	return 0
}

// readAll makes or goes on with a complete reading.
func (r *Replica) readAll(ctx context.Context) time.Duration {
	r.mu.Lock()
	current, fresh := r.fullRead, r.revision == 0
	r.mu.Unlock()
	for {
		stopHedge := func() {}
		if fresh && current.next == "" && r.ReadPeer != nil {
			stopHedge = r.hedge(ctx)
		}
		page, err := r.readPage(ctx, current.next)
		stopHedge()
		if err != nil {
			return r.suspendRead(ctx, current, err)
		}
		if fresh && page.Next != "" && r.isSynced() {
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
	r.recordSuccess()
	r.Replace(current.changes, current.revision, r.recentOutage())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision, r.synced, r.fullRead = max(r.revision, current.revision), true, fullRead{}
	return 0
}

func (r *Replica) readPage(ctx context.Context, after string) (Page, error) {
	r.Counters.Add("store-reads", 1)
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := r.Now()
	page, err := r.Read(call, after)
	r.Counters.Observe("store-read", r.Now()-started)
	return page, err
}

// suspendRead keeps a reading that the store did not let finish, and asks another process meanwhile.
func (r *Replica) suspendRead(ctx context.Context, current fullRead, err error) time.Duration {
	r.mu.Lock()
	r.fullRead = current
	r.mu.Unlock()
	pause := r.recordFailure(err)
	if !r.isSynced() {
		r.adoptPeer(ctx)
	}
	return pause
}

// isSynced reports whether the state is known, which another process may have told while the store was read.
func (r *Replica) isSynced() bool {
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
			r.adoptPeer(ctx)
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
	call, cancel := context.WithTimeout(ctx, r.WatchTimeout+watchMargin)
	defer cancel()
	since := r.Revision()
	page, err := r.Watch(call, since, r.WatchTimeout)
	if errors.Is(err, ErrCompacted) {
		r.Counters.Add("store-retry-forgotten", 1)
		r.Resync(false)
		return 0
	}
	if err != nil {
		return r.recordFailure(err)
	}
	r.recordSuccess()
	r.Apply(page.Changes, since, max(since, page.Revision), r.recentOutage())
	r.Advance(page.Revision)
	if len(page.Changes) == 0 {
		return 0
	}
	return r.BatchDelay
}

// adoptPeer puts the reading of another process in force, while the store does not answer. The other process may not have read a
// configuration that it was told of, so that the one in the store is read as soon as the store answers.
func (r *Replica) adoptPeer(ctx context.Context) {
	if r.ReadPeer == nil || r.peerReadAt > 0 && r.Now()-r.peerReadAt < peerReadInterval {
		return
	}
	r.Counters.Add("peer-reads", 1)
	page, err := r.ReadPeer(ctx)
	if err != nil {
		r.Counters.Add("peer-retry-unreachable", 1)
		return
	}
	if ctx.Err() != nil {
		return // The store was faster.
	}
	r.peerReadAt = r.Now()
	complete := page.Revision >= r.Revision()
	r.Adopt(page.Changes, page.Revision, complete)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configurationDue = true
	if complete && !r.synced {
		r.revision, r.synced, r.fullRead = max(r.revision, page.Revision), true, fullRead{}
	}
}

func (r *Replica) recordFailure(err error) time.Duration {
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
	if !r.storeDown {
		r.storeDown, r.hadOutage, r.outageStart = true, true, r.Now()
		r.Lost(err)
	}
	r.failures++
	delay := min(maxBackoff, minBackoff<<min(r.failures-1, 8))
	return delay/2 + rand.N(delay/2)
}

func (r *Replica) recordSuccess() {
	r.failures = 0
	if !r.storeDown {
		return
	}
	r.storeDown, r.outageEnd = false, r.Now()
	r.Regained(r.outageEnd - r.outageStart)
}

func (r *Replica) recentOutage() bool {
	return r.storeDown || r.hadOutage && r.Now()-r.outageEnd < outageGracePeriod
}
