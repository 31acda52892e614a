package replica

import (
	"context"
	"time"
)

// bootstrap adopts the state of another process. Its configuration is as new as its revision, see Consistent, so the
// configuration is not read from the store.
func (r *Replica) bootstrap(ctx context.Context) {
	if r.Bootstrap == nil {
		return
	}
	page, err := r.Bootstrap(ctx)
	if err != nil {
		return // The reason was counted by the callback.
	}
	r.Counters.Add("bootstrapped-from-peer", 1)
	r.noticeEra(page.Era)
	r.Adopt(page.Changes, page.Position(), true)
	r.complete(page.Position(), page.ConfirmedAt)
}

// fetchState adopts the state of the process that announced a later era. It requests a full read of the store if this
// fails.
func (r *Replica) fetchState(ctx context.Context) time.Duration {
	r.mu.Lock()
	r.stateDue = false
	r.mu.Unlock()
	if r.ReadPeerState != nil {
		end := r.beginCall("peer-state")
		page, err := r.ReadPeerState(ctx)
		end()
		if err == nil && page.Era > r.Position().Era && r.noticeEra(page.Era) >= 0 {
			r.Counters.Add("peer-state-reads", 1)
			r.reportRestore(page.Position())
			r.Adopt(page.Changes, page.Position(), true)
			r.complete(page.Position(), page.ConfirmedAt)
			return 0
		}
	}
	r.Counters.Add("peer-retry-state", 1)
	r.Resync(false)
	return 0
}

// Consistent reports whether the state is complete and its configuration is at least as new as Position, so that
// another process can adopt both.
func (r *Replica) Consistent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced && !r.configurationDue && !r.readingDue && !r.stateDue && r.at.Era == r.latestEra
}

// hedge reads the snapshot of another process if the store has not replied after peerDelay. The returned function
// cancels this and waits until it has ended.
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

// peerInterval returns the least time between two snapshots from other processes.
func (r *Replica) peerInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.catchUpDue {
		return gapReadInterval
	}
	return peerReadInterval
}

// adoptPeer adopts the snapshot of another process while the store does not reply. That process may not yet have read a
// configuration that was announced to it, so the configuration is read from the store as soon as the store replies.
func (r *Replica) adoptPeer(ctx context.Context) {
	if r.ReadPeer == nil || r.peerReadAt > 0 && r.Now()-r.peerReadAt < r.peerInterval() {
		return
	}
	r.Counters.Add("peer-reads", 1)
	end := r.beginCall("peer")
	page, err := r.ReadPeer(ctx)
	end()
	if err != nil {
		r.Counters.Add("peer-retry-unreachable", 1)
		return
	}
	if ctx.Err() != nil {
		return // The store replied first.
	}
	r.peerReadAt = r.Now()
	at := page.Position()
	complete := r.noticeEra(at.Era) >= 0 && at.Compare(r.Position()) >= 0
	if complete {
		r.reportRestore(at)
	}
	r.Adopt(page.Changes, at, complete)
	if complete && r.isSynced() {
		r.Advance(at)
		r.Confirm(at.Era, page.ConfirmedAt)
	}
	if complete && (!r.isSynced() || at.Era > r.Position().Era) {
		r.complete(at, page.ConfirmedAt)
	}
	r.repeatConfiguration()
}
