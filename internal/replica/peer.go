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
	r.Adopt(page.Changes, page.Revision, true)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision, r.synced = max(r.revision, page.Revision), true
}

// Consistent reports whether the state is complete and its configuration is at least as new as Revision, so that
// another process can adopt both.
func (r *Replica) Consistent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced && !r.configurationDue && !r.readingDue
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

// adoptPeer adopts the snapshot of another process while the store does not reply. That process may not yet have read a
// configuration that was announced to it, so the configuration is read from the store as soon as the store replies.
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
		return // The store replied first.
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
