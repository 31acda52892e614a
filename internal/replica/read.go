package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
)

// readTimeout bounds one read; a slow store takes up to 0.25 s.
const readTimeout = 1500 * time.Millisecond

// errOutdated is the error for a reply that the store gave before it was restored.
const errOutdated = errors.ConstError("the reply is from an earlier era of the store")

// fullRead is a full read in progress. The store may refuse one of its pages when all processes of a large fleet read
// at the same time; the retry continues with this page.
type fullRead struct {
	next    string           // key of the next page; empty before the first one
	at      history.Position // of the first page; the pages are not atomic, and the first watch returns later changes
	started time.Duration    // when the first page was requested
	changes []registry.Change
}

// FetchState requests the state of the process that announced a later era of the store. The announced era itself is not
// recorded, so that a false one cannot make the replies of the store outdated.
func (r *Replica) FetchState(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if era <= r.at.Era || r.stateDue || !r.synced || r.stateAt > 0 && now-r.stateAt < peerReadInterval {
		return
	}
	r.stateDue, r.stateAt = true, now+rand.N(stateSpread)
}

// Resync requests a full read as the next call, or a read of only the configuration.
func (r *Replica) Resync(configurationOnly bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if configurationOnly {
		r.configurationDue = true
		if r.synced && r.ReadPeerConfiguration != nil {
			select {
			case r.wake <- struct{}{}:
			default:
			}
		}
		r.interruptLater()
	} else {
		r.synced, r.fullRead = false, fullRead{}
	}
}

// repeatConfiguration requests a read of the configuration as the next call, after the delay for a call that failed.
func (r *Replica) repeatConfiguration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configurationDue = true
}

func (r *Replica) readConfiguration(ctx context.Context) time.Duration {
	if r.ReadPeerConfiguration != nil {
		end := r.beginCall("peer-configuration")
		page, err := r.ReadPeerConfiguration(ctx)
		end()
		if err == nil {
			r.Counters.Add("peer-configuration-reads", 1)
			r.Adopt(page.Changes, r.Position(), false)
			return 0
		}
		r.Counters.Add("peer-retry-configuration", 1)
	}
	r.Counters.Add("store-reads", 1)
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := r.Now()
	end := r.beginCall("configuration")
	page, err := r.ReadConfiguration(call)
	end()
	if err == nil && r.noticeEra(page.Era) < 0 {
		err = errOutdated
	}
	if err != nil {
		r.repeatConfiguration()
		delay := r.recordFailure(err, started)
		r.adoptPeer(ctx)
		return delay
	}
	r.recordSuccess()
	at, confirmedAt := r.position()
	r.Apply(page.Changes, at, at, confirmedAt, r.StoreDown())
	if page.Era > at.Era {
		r.Resync(false)
	}
	return 0
}

// readAll starts or continues a full read.
func (r *Replica) readAll(ctx context.Context) time.Duration {
	r.mu.Lock()
	current, fresh := r.fullRead, r.at.Revision == 0
	r.mu.Unlock()
	for {
		stopHedge := func() {}
		if fresh && current.next == "" && r.ReadPeer != nil {
			stopHedge = r.hedge(ctx)
		}
		started := r.Now()
		page, err := r.readPage(ctx, current.next)
		stopHedge()
		if err == nil && r.noticeEra(page.Era) < 0 {
			err = errOutdated
		}
		if err != nil {
			return r.suspendRead(ctx, current, err, started)
		}
		if current.next != "" && page.Era != current.at.Era {
			current = fullRead{} // The earlier pages are from another era.
			continue
		}
		if fresh && page.Next != "" && r.isSynced() {
			return 0 // The snapshot of another process arrived first; the remaining pages are not needed.
		}
		if current.next == "" {
			current.at, current.started = page.Position(), started
		}
		current.changes = append(current.changes, page.Changes...)
		if current.next = page.Next; current.next == "" {
			break
		}
	}
	r.recordSuccess()
	r.reportRestore(current.at)
	r.Replace(current.changes, current.at, current.started, r.StoreDown())
	r.complete(current.at, current.started)
	return 0
}

func (r *Replica) readPage(ctx context.Context, after string) (Page, error) {
	r.Counters.Add("store-reads", 1)
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := r.Now()
	defer r.beginCall("read")()
	page, err := r.Read(call, after)
	r.Counters.Observe("store-read", r.Now()-started)
	return page, err
}

// suspendRead keeps the pages of a full read that failed, so that the retry continues it, and reads the snapshot of
// another process in the meantime. started is when the call that failed was made.
func (r *Replica) suspendRead(ctx context.Context, current fullRead, err error, started time.Duration) time.Duration {
	r.mu.Lock()
	r.fullRead = current
	r.mu.Unlock()
	delay := r.recordFailure(err, started)
	if !r.isSynced() {
		r.adoptPeer(ctx)
	}
	return delay
}
