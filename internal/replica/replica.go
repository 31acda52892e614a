package replica

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
)

// Errors that Read and Watch return. Other errors are counted as a timeout or as an unreachable store.
const (
	// ErrCompacted is returned when the store no longer has the changes after the given revision.
	ErrCompacted = errors.ConstError("the store no longer has the requested history")
	// ErrRefused is returned when the store rejects a call, for example above its rate limit.
	ErrRefused = errors.ConstError("the store refused the call")
)

// errInterrupted is the cause for ending a call to the store that has kept other work waiting for too long.
const errInterrupted = errors.ConstError("other entry VMs have newer state")

// errOutdated is the error for a reply that the store gave before it was restored.
const errOutdated = errors.ConstError("the reply is from an earlier era of the store")

const (
	// readTimeout bounds one read; a slow store takes up to 0.25 s.
	readTimeout = 1500 * time.Millisecond
	// catchUpWait is the wait of a watch that reads changes which have already been made; the least that the store allows.
	catchUpWait = time.Millisecond
	// watchMargin is how long after WatchTimeout the reply to a watch may arrive.
	watchMargin = 700 * time.Millisecond
	// interruptDelay is how long a watch may keep newer state of other entry VMs waiting. A working one returns the change
	// itself in this time.
	interruptDelay = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay before a retry, from which up to half is then subtracted at random. Every
	// call counts against the rate limit of the store.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// maxReplyTime is how long a reply with changes may be under way.
	maxReplyTime = 250 * time.Millisecond
	// peerDelay is how long a new process waits for the first page of the store before it reads the snapshot of another
	// process. Without the delay, all processes that start at once would read from the same few contacts.
	peerDelay = 150 * time.Millisecond
	// peerReadInterval is the least time between two snapshots from other processes.
	peerReadInterval = 3 * time.Second
	// roleCheckInterval is the time between two calls of ShouldRead while it returns false.
	roleCheckInterval = 200 * time.Millisecond
	// stateSpread is the time over which the entry VMs of a zone fetch the state from the one that announced a new era.
	stateSpread = 500 * time.Millisecond
	// outageGracePeriod is how long after an outage, or after the store was restored, a missing entry is treated as lapsed
	// and not as removed.
	outageGracePeriod = 4 * time.Second
)

// Page is a portion of the published state or a list of changes to it.
type Page struct {
	// Changes are the entries, or the changes in the order of their revisions.
	Changes []registry.Change
	// Era is the era in which the store was read.
	Era uint64
	// Revision is the revision of the store to continue from.
	Revision uint64
	// Next is the position of the next page; it is empty on the last page.
	Next string
	// ConfirmedAt is when the store confirmed the state of another process; 0 if that is not known. It is not used for the
	// replies of the store.
	ConfirmedAt time.Duration
}

// Position returns the position of the page.
func (p *Page) Position() history.Position { return history.Position{Era: p.Era, Revision: p.Revision} }

// Config has the callbacks and settings of a Replica.
type Config struct {
	// Read returns the page after the given position, which is empty for the first page.
	Read func(ctx context.Context, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there is one, or an empty page when wait has passed.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// ReadConfiguration returns only the configuration.
	ReadConfiguration func(ctx context.Context) (Page, error)
	// Bootstrap returns the state of another process once when this process starts, or an error if the store has to be
	// read. It may block until one of both is known. Nil reads the store.
	Bootstrap func(ctx context.Context) (Page, error)
	// ReadPeerConfiguration returns the configuration of the process that announced it. It is called before
	// ReadConfiguration, which is called only if it fails; nil disables it.
	ReadPeerConfiguration func(ctx context.Context) (Page, error)
	// ReadPeerState returns the snapshot of the process that announced a later era of the store. If it fails, the store is
	// read; nil disables it.
	ReadPeerState func(ctx context.Context) (Page, error)
	// ReadPeer returns the snapshot of another process whose state is younger, if that of this process is complete. It is
	// called when the store does not reply; nil disables it.
	ReadPeer func(ctx context.Context) (Page, error)
	// Replace is called with the result of a full read, its position and when the store confirmed it. storeDown reports
	// whether the store was unavailable or restored within the last 4 s.
	Replace func(changes []registry.Change, at history.Position, confirmedAt time.Duration, storeDown bool)
	// Apply is called with the changes after since up to position at of the same era, in order; the list may be empty.
	// confirmedAt and storeDown have the same meaning as in Replace.
	Apply func(changes []registry.Change, since, at history.Position, confirmedAt time.Duration, storeDown bool)
	// Adopt is called with the snapshot or configuration of another process and its position. complete reports whether
	// the snapshot is at least as new as the state of this Replica, so that servers missing from it are gone.
	Adopt func(changes []registry.Change, at history.Position, complete bool)
	// ShouldRead reports whether this process has to watch the store itself; nil means that it has to.
	ShouldRead func() bool
	// PollDelay returns how long a process that does not watch the store waits, by the age of its state, until it reads the
	// changes once. It then substitutes for those that watch, so a call that fails is repeated late. Nil never polls.
	PollDelay func() time.Duration
	// Lost and Regained are called once for each outage of the store, when it starts and when it ends.
	Lost     func(reason error)
	Regained func(outage time.Duration)
	// Restored is called when the state of a later era is received, with the previous position; nil ignores it.
	Restored func(before, at history.Position)
	// Now returns the monotonic time.
	Now func() time.Duration
	// WatchTimeout returns how long the store delays its reply to a watch while there is no change.
	WatchTimeout func() time.Duration
	// MaxPollDelay is the greatest delay before a poll is repeated; the least one is half of it.
	MaxPollDelay time.Duration
	// BatchDelay is the delay after a watch that returned changes.
	BatchDelay time.Duration
	// Counters counts calls and retries by reason; nil counts nothing.
	Counters *counter.Set
}

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

// fullRead is a full read in progress. The store may refuse one of its pages when all processes of a large fleet read
// at the same time; the retry continues with this page.
type fullRead struct {
	next    string           // key of the next page; empty before the first one
	at      history.Position // of the first page; the pages are not atomic, and the first watch returns later changes
	started time.Duration    // when the first page was requested
	changes []registry.Change
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

// StoreDown reports whether the store is unavailable to this process or was so recently.
func (r *Replica) StoreDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recentOutage()
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

// position returns the position and when the store confirmed it.
func (r *Replica) position() (at history.Position, confirmedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at, r.confirmedAt
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

// CatchUp requests the changes since Position as the next call, because they did not arrive from another process.
func (r *Replica) CatchUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.catchUpDue = true
	r.interruptLater()
}

// repeatConfiguration requests a read of the configuration as the next call, after the delay for a call that failed.
func (r *Replica) repeatConfiguration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configurationDue = true
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

// endOutage ends the outage of the store for a process that makes no calls, when others have received a reply.
func (r *Replica) endOutage() {
	if _, confirmedAt := r.position(); r.storeDown && confirmedAt > r.failedAt {
		r.recordSuccess()
	}
}

func (r *Replica) readConfiguration(ctx context.Context) time.Duration {
	if r.ReadPeerConfiguration != nil {
		page, err := r.ReadPeerConfiguration(ctx)
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
	page, err := r.ReadConfiguration(call)
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

func (r *Replica) readPage(ctx context.Context, after string) (Page, error) {
	r.Counters.Add("store-reads", 1)
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := r.Now()
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

// isSynced reports whether the state is complete. The snapshot of another process can make it so during a full read.
func (r *Replica) isSynced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
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
	page, err := r.Watch(call, since.Revision, wait)
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

func (r *Replica) recentOutage() bool {
	return r.storeDown || r.hadOutage && r.Now()-r.outageEnd < outageGracePeriod ||
		r.wasRestored && r.Now()-r.restoredAt < outageGracePeriod
}
