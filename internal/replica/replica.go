package replica

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/masticspar/masticspar/internal/history"
)

// Errors that Read and Watch return. Other errors are counted as a timeout or as an unreachable store.
const (
	// ErrCompacted is returned when the store no longer has the changes after the given revision.
	ErrCompacted = errors.ConstError("the store no longer has the requested history")
	// ErrRefused is returned when the store rejects a call, for example above its rate limit.
	ErrRefused = errors.ConstError("the store refused the call")
)

const (
	// peerDelay is how long a new process waits for the first page of the store before it reads the snapshot of another
	// process. Without the delay, all processes that start at once would read from the same few contacts.
	peerDelay = 150 * time.Millisecond
	// peerReadInterval is the least time between two snapshots from other processes.
	peerReadInterval = 3 * time.Second
	// gapReadInterval is the same while changes are missing that others have announced. The snapshot of a process that lacks
	// them, too, must not delay the next one beyond the bounds of the state.
	gapReadInterval = time.Second
	// roleCheckInterval is the time between two calls of ShouldRead while it returns false.
	roleCheckInterval = 200 * time.Millisecond
	// stateSpread is the time over which the entry VMs of a zone fetch the state from the one that announced a new era.
	stateSpread = 500 * time.Millisecond
)

// Replica follows the state of one store. Its methods may be called from several goroutines.
type Replica struct {
	Config
	tb tomb.Tomb

	mu               sync.Mutex
	at               history.Position // up to which changes have been received
	confirmedAt      time.Duration    // when the store confirmed that there was no later change than at
	latestEra        uint64           // latest era of a reply of the store or of a state of another process
	synced           bool             // whether the state is complete
	configurationDue bool             // whether the next step reads only the configuration
	readingDue       bool             // whether such a read is in progress
	catchUpDue       bool             // whether the next step reads the changes since at, even if others watch the store
	stateDue         bool             // whether the state has to be fetched from the process that announced a later era
	stateAt          time.Duration    // when this is or was due
	fullRead         fullRead
	interrupt        context.CancelCauseFunc // ends the watch in progress; nil if there is none
	calls            []*call                 // in progress

	// Written with mu held, so that StoreDown can read them.
	storeDown   bool          // whether the last call to the store failed
	outageStart time.Duration // start of the current outage
	outageEnd   time.Duration // end of the last outage
	hadOutage   bool
	restoredAt  time.Duration // when a later era was first noticed
	wasRestored bool

	failures   int           // consecutive calls that failed
	failedAt   time.Duration // when a call was last known to have failed
	repliedAt  time.Duration // when the store last replied to a watch
	compacted  int           // consecutive watches for which the store no longer had the history
	peerReadAt time.Duration // when the last snapshot of another process arrived

	wake chan struct{} // receives a value when another process has announced a configuration
}

// New starts a Replica that follows the store. The returned function stops it and waits until it has ended.
func New(c Config) (*Replica, func()) {
	r := &Replica{Config: c, wake: make(chan struct{}, 1)}
	ctx := r.tb.Context(context.Background())
	r.tb.Go(func() error {
		r.bootstrap(ctx)
		for r.tb.Alive() {
			r.pause(r.step(ctx))
		}
		return nil
	})
	return r, func() {
		r.tb.Kill(nil)
		_ = r.tb.Wait()
	}
}

// pause waits between two steps. It returns early when another process announces a configuration, which is read from there.
func (r *Replica) pause(delay time.Duration) {
	if delay == 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-r.wake:
	case <-r.tb.Dying():
	}
}

// Position returns the position up to which changes have been received.
func (r *Replica) Position() history.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// Advance records that another process supplied the changes up to a position. A position of another era is ignored,
// because changes alone do not lead from one era to the next.
func (r *Replica) Advance(at history.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Era == r.at.Era {
		r.at.Revision = max(r.at.Revision, at.Revision)
	}
}

// position returns the position and when the store confirmed it.
func (r *Replica) position() (at history.Position, confirmedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at, r.confirmedAt
}

// isSynced reports whether the state is complete. The snapshot of another process can make it so during a full read.
func (r *Replica) isSynced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// step makes one call or one full read and returns the delay before the next step.
func (r *Replica) step(ctx context.Context) time.Duration {
	r.mu.Lock()
	synced, configurationDue, catchUpDue := r.synced, r.configurationDue, r.catchUpDue
	stateDue := r.stateDue
	fetchState := stateDue && r.Now() >= r.stateAt
	r.configurationDue, r.readingDue, r.catchUpDue = false, configurationDue, false
	select {
	case <-r.wake: // This step reads the configuration that was announced.
	default:
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.readingDue = false
	}()
	switch {
	case !synced:
		return r.readAll(ctx)
	case configurationDue:
		if catchUpDue {
			r.CatchUp()
		}
		return r.readConfiguration(ctx)
	case fetchState:
		if catchUpDue {
			r.CatchUp()
		}
		return r.fetchState(ctx)
	case catchUpDue:
		return r.catchUp(ctx)
	case r.ShouldRead == nil || r.ShouldRead():
		return r.watch(ctx)
	}
	delay := roleCheckInterval
	if !stateDue && r.PollDelay != nil {
		if delay = min(delay, r.PollDelay()); delay <= 0 {
			return r.poll(ctx)
		}
	}
	r.endOutage()
	return delay
}
