package replica

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/history"
)

const (
	// minBackoff and maxBackoff bound the delay before a retry, from which up to half is then subtracted at random. Every
	// call counts against the rate limit of the store.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// outageGracePeriod is how long after an outage, or after the store was restored, a missing entry is treated as lapsed
	// and not as removed.
	outageGracePeriod = 4 * time.Second
)

// StoreDown reports whether the store is unavailable to this process or was so recently.
func (r *Replica) StoreDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recentOutage()
}

func (r *Replica) recentOutage() bool {
	return r.storeDown || r.hadOutage && r.Now()-r.outageEnd < outageGracePeriod ||
		r.wasRestored && r.Now()-r.restoredAt < outageGracePeriod
}

// endOutage ends the outage of the store for a process that makes no calls, when others have received a reply.
func (r *Replica) endOutage() {
	if _, confirmedAt := r.position(); r.storeDown && confirmedAt > r.failedAt {
		r.recordSuccess()
	}
}

// noticeEra compares an era with the latest one of which this Replica knows, and records a later one.
func (r *Replica) noticeEra(era uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := cmp.Compare(era, r.latestEra)
	if order > 0 {
		r.latestEra = era
		if r.at.Revision > 0 {
			r.wasRestored, r.restoredAt = true, r.Now()
		}
	}
	return order
}

// reportRestore reports that the state of a position is about to replace that of an earlier era.
func (r *Replica) reportRestore(at history.Position) {
	before := r.Position()
	if before.Revision == 0 || at.Era <= before.Era {
		return
	}
	r.Counters.Add("store-restored", 1)
	if r.Restored != nil {
		r.Restored(before, at)
	}
}

// recordFailure records that a call made at started has failed, and returns the delay before the next one. The time that the
// call took counts, so that a silent call is repeated at once.
func (r *Replica) recordFailure(err error, started time.Duration) time.Duration {
	if !r.tb.Alive() {
		return 0 // The call was canceled because the Replica stops.
	}
	reason := "unreachable"
	switch {
	case errors.Is(err, ErrRefused):
		reason = "refused"
	case errors.Is(err, errOutdated):
		reason = "outdated"
	case errors.Is(err, context.DeadlineExceeded):
		reason = "timeout"
	}
	r.Counters.Add("store-retry-"+reason, 1)
	r.failedAt = r.Now()
	if !r.storeDown {
		r.mu.Lock()
		r.storeDown, r.hadOutage, r.outageStart = true, true, r.Now()
		r.mu.Unlock()
		r.Lost(err)
	}
	r.failures++
	return max(0, backoff(r.failures)-(r.Now()-started))
}

// backoff returns the delay after the given number of consecutive failures.
func backoff(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	delay := min(maxBackoff, minBackoff<<min(failures-1, 8))
	return delay/2 + rand.N(delay/2)
}

func (r *Replica) recordSuccess() {
	r.failures = 0
	if !r.storeDown {
		return
	}
	r.mu.Lock()
	r.storeDown, r.outageEnd = false, r.Now()
	r.mu.Unlock()
	r.Regained(r.outageEnd - r.outageStart)
}
