package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/history"
)

// errInterrupted is the cause for ending a call to the store that has kept other work waiting for too long.
const errInterrupted = errors.ConstError("other entry VMs have newer state")

const (
	// catchUpWait is the wait of a watch that reads changes which have already been made; the least that the store allows.
	catchUpWait = time.Millisecond
	// watchMargin is how long after WatchTimeout the reply to a watch may arrive.
	watchMargin = 700 * time.Millisecond
	// interruptDelay is how long a watch may keep newer state of other entry VMs waiting. A working one returns the change
	// itself in this time.
	interruptDelay = 500 * time.Millisecond
	// maxReplyTime is how long a reply with changes may be under way.
	maxReplyTime = 250 * time.Millisecond
)

// CatchUp requests the changes since Position as the next call, because they did not arrive from another process.
func (r *Replica) CatchUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.catchUpDue = true
	r.interruptLater()
}

func (r *Replica) setInterrupt(f context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupt = f
}

// interruptLater ends the watch in progress after interruptDelay if the changes or the configuration that others have
// are still due then: its channel may be silent. It must be called with mu held.
func (r *Replica) interruptLater() {
	interrupt := r.interrupt
	if interrupt == nil {
		return
	}
	time.AfterFunc(interruptDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.configurationDue || r.catchUpDue {
			interrupt(errInterrupted)
		}
	})
}

// catchUp reads the changes since the current position. If the call fails, it is repeated after the snapshot of another
// process: the reply has each version of the configuration since then, and may be too large for the link of a small VM.
func (r *Replica) catchUp(ctx context.Context) time.Duration {
	delay, err := r.readChanges(ctx, catchUpWait, catchUpWait)
	if err != nil {
		r.CatchUp()
		r.adoptPeer(ctx)
	}
	return delay
}

// poll reads the changes since the current position in place of the processes that watch the store. A call that fails is
// not repeated soon, because many processes do the same then.
func (r *Replica) poll(ctx context.Context) time.Duration {
	r.Counters.Add("store-polls", 1)
	delay, err := r.readChanges(ctx, catchUpWait, catchUpWait)
	if err == nil {
		return delay
	}
	r.adoptPeer(ctx)
	if r.MaxPollDelay < 2 {
		return delay
	}
	return r.MaxPollDelay/2 + rand.N(r.MaxPollDelay/2)
}

// watch waits for changes. The wait is shorter after a delay for a batch, so that a channel which has gone silent in the
// meantime is noticed as early as without the delay, and at first, so that the state of another process is confirmed in time.
func (r *Replica) watch(ctx context.Context) time.Duration {
	timeout := r.WatchTimeout()
	wait := timeout - min(r.BatchDelay, r.Now()-r.repliedAt)
	limit := wait
	if r.repliedAt == 0 {
		age, _ := r.Age()
		wait, limit = timeout-age, timeout
	}
	delay, _ := r.readChanges(ctx, max(wait, catchUpWait), limit) // The next step repeats a call that failed.
	return delay
}

// readChanges waits up to the given time for changes since the current position and applies them. The reply may arrive
// until watchMargin after limit. It returns the delay before the next step.
func (r *Replica) readChanges(ctx context.Context, wait, limit time.Duration) (time.Duration, error) {
	r.Counters.Add("store-watches", 1)
	call, cancel := context.WithTimeout(ctx, max(wait, limit)+watchMargin)
	defer cancel()
	call, interrupt := context.WithCancelCause(call)
	defer interrupt(nil)
	if wait > catchUpWait {
		r.setInterrupt(interrupt)
		defer r.setInterrupt(nil)
	}
	since, started := r.Position(), r.Now()
	end := r.beginCall("changes")
	page, err := r.Watch(call, since.Revision, wait)
	end()
	if err != nil && errors.Is(context.Cause(call), errInterrupted) {
		r.Counters.Add("store-retry-interrupted", 1)
		return 0, nil
	}
	if errors.Is(err, ErrCompacted) {
		r.Counters.Add("store-retry-forgotten", 1)
		r.Resync(false)
		r.compacted++
		return backoff(r.compacted - 1), nil
	}
	if err == nil && r.noticeEra(page.Era) < 0 {
		err = errOutdated
	}
	if err != nil {
		return r.recordFailure(err, started), err
	}
	r.recordSuccess()
	r.compacted, r.repliedAt = 0, r.Now()
	if page.Era != since.Era {
		r.Resync(false) // The reply lacks the changes of its era up to the revision of the lost history.
		return 0, nil
	}
	at := history.Position{Era: since.Era, Revision: max(since.Revision, page.Revision)}
	confirmedAt := max(started, r.repliedAt-maxReplyTime)
	if len(page.Changes) == 0 {
		confirmedAt = min(started+wait, r.repliedAt) // The store has waited for changes until then.
	}
	r.Apply(page.Changes, since, at, confirmedAt, r.StoreDown())
	r.Advance(at)
	r.Confirm(at.Era, confirmedAt)
	if len(page.Changes) == 0 {
		return 0, nil
	}
	return r.BatchDelay, nil
}
