package replica

import (
	"time"

	"github.com/masticspar/masticspar/internal/history"
)

// Age returns how long ago the store confirmed the state of this process, directly or through other processes. ok is false
// while the state is incomplete.
func (r *Replica) Age() (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.Now()-r.confirmedAt), r.synced
}

// Confirm records that the store confirmed the state of this process, which was of the given era, at a time.
func (r *Replica) Confirm(era uint64, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.synced && era == r.at.Era {
		r.confirmedAt = max(r.confirmedAt, at)
	}
}

// complete records that the state up to a position is complete, and when the store confirmed it.
func (r *Replica) complete(at history.Position, confirmedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Era != r.at.Era {
		r.confirmedAt = 0 // It was about the lost history.
		r.stateDue = false
	}
	r.confirmedAt = max(r.confirmedAt, confirmedAt)
	if at.Compare(r.at) > 0 {
		r.at = at
	}
	r.synced, r.fullRead = true, fullRead{}
}
