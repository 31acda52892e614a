package replica

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
)

// stubStore returns the replies that a test queues and blocks while there are none. It records the callbacks.
type stubStore struct {
	reads, watches chan result
	mu             sync.Mutex
	log            []string
	events         chan string
	reader         bool
}

type result struct {
	page Page
	err  error
}

func newStubStore() *stubStore {
	return &stubStore{
		reads: make(chan result, 10), watches: make(chan result, 10),
		events: make(chan string, 100), reader: true,
	}
}

func receive(ctx context.Context, from chan result) (Page, error) {
	select {
	case r := <-from:
		return r.page, r.err
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
}

func (s *stubStore) record(event string) {
	s.mu.Lock()
	s.log = append(s.log, event)
	s.mu.Unlock()
	s.events <- event
}

func (s *stubStore) config() Config {
	start := time.Now()
	return Config{
		Read:  func(ctx context.Context, _ string) (Page, error) { return receive(ctx, s.reads) },
		Watch: func(ctx context.Context, _ uint64, _ time.Duration) (Page, error) { return receive(ctx, s.watches) },
		ReadConfiguration: func(ctx context.Context) (Page, error) {
			return receive(ctx, s.reads)
		},
		Replace: func(_ []registry.Change, _ history.Position, _ time.Duration, storeDown bool) {
			s.record(event("replace", storeDown))
		},
		Apply: func(_ []registry.Change, _, _ history.Position, _ time.Duration, storeDown bool) {
			s.record(event("apply", storeDown))
		},
		Adopt: func(_ []registry.Change, _ history.Position, complete bool) {
			if complete {
				s.record("adopt")
			} else {
				s.record("adopt older")
			}
		},
		ShouldRead: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.reader
		},
		Lost: func(error) { s.record("lost") }, Regained: func(time.Duration) { s.record("regained") },
		Now:          func() time.Duration { return time.Since(start) },
		WatchTimeout: func() time.Duration { return time.Minute }, Counters: counter.New(),
	}
}

func event(name string, storeDown bool) string {
	if storeDown {
		return name + " during outage"
	}
	return name
}

func (s *stubStore) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		select {
		case got := <-s.events:
			if got != w {
				t.Fatalf("got event %q, want %q; all: %v", got, w, s.log)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("no event %q after 10s; all: %v", w, s.log)
		}
	}
}

// expectRevision waits until the replica has the given revision. A replica stores its revision only after it has called
// Replace, Apply or Adopt, so the revision may still be the previous one when the event of the call arrives.
func expectRevision(t *testing.T, r *Replica, want uint64) {
	t.Helper()
	for start := time.Now(); r.Position().Revision != want; time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatalf("got revision %d after 10s, want %d", r.Position().Revision, want)
		}
	}
}

// follow starts a replica that has read revision 5.
func (s *stubStore) follow(t *testing.T, c Config) *Replica {
	t.Helper()
	return s.followFrom(t, c, Page{Revision: 5})
}

// followFrom starts a replica that has read a page.
func (s *stubStore) followFrom(t *testing.T, c Config, p Page) *Replica {
	t.Helper()
	s.reads <- result{page: p}
	r, stop := New(c)
	t.Cleanup(stop)
	s.expect(t, "replace")
	return r
}

// Guards against a replica that does not read everything again after the store has compacted its history, and so loses
// the changes in between.
func TestReadsStoreAgainAfterCompaction(t *testing.T) {
	s := newStubStore()
	r := s.follow(t, s.config())
	s.watches <- result{err: ErrCompacted}
	s.reads <- result{page: Page{Revision: 9}}
	s.expect(t, "replace")
	expectRevision(t, r, 9)
}

// Guards against servers that are removed because the store was unavailable, and against an outage reported twice.
func TestReportsOutageOnce(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	s.follow(t, c)
	s.watches <- result{err: ErrRefused}
	s.watches <- result{err: errors.New("reset")}
	s.watches <- result{page: Page{Revision: 6, Changes: []registry.Change{{Name: "i-1"}}}}
	s.expect(t, "lost", "regained", "apply during outage")
	is.Equal(c.Counters.Values()["store-retry-refused"], int64(1))
	is.Equal(c.Counters.Values()["store-retry-unreachable"], int64(1))
}

// Guards against a log that reports an outage of the store when the replica stops.
func TestStopReportsNoOutage(t *testing.T) {
	s := newStubStore()
	_, stop := New(s.config())
	s.reads <- result{page: Page{Revision: 5}}
	s.expect(t, "replace")
	stop()
	if len(s.events) > 0 {
		t.Fatalf("got event %q, want none", <-s.events)
	}
}

// Guards against a new process that waits for the timeout of the store although another process has a snapshot.
func TestFreshProcessReadsPeerWhileStoreIsSlow(t *testing.T) {
	s := newStubStore()
	c := s.config()
	c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: 4}, nil }
	_, stop := New(c)
	defer stop()
	s.expect(t, "adopt") // The store has not replied yet.
	s.reads <- result{page: Page{Revision: 5}}
	s.expect(t, "replace")
}

// Guards against too many reads of the few contacts when all processes start at once although the store replies.
func TestDoesNotReadPeersWhileStoreReplies(t *testing.T) {
	s := newStubStore()
	c := s.config()
	c.ReadPeer = func(context.Context) (Page, error) {
		t.Error("ReadPeer was called")
		return Page{}, nil
	}
	s.reads <- result{page: Page{Revision: 5, Next: "page-2"}}
	r, stop := New(c)
	defer stop()
	time.Sleep(2 * peerDelay) // The second page takes longer.
	s.reads <- result{page: Page{Revision: 5}}
	s.expect(t, "replace")
	expectRevision(t, r, 5)
}

// Guards against further reads of pages from a slow store after another process has supplied the state.
func TestPeerSnapshotEndsFullRead(t *testing.T) {
	s := newStubStore()
	c := s.config()
	c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: 4}, nil }
	r, stop := New(c)
	defer stop()
	s.expect(t, "adopt")
	s.reads <- result{page: Page{Revision: 5, Next: "page-2"}}
	s.reads <- result{page: Page{}} // The configuration. If the second page were read, the event would be "replace".
	s.watches <- result{page: Page{Revision: 6}}
	s.expect(t, "apply", "apply")
	expectRevision(t, r, 6)
	if len(s.reads) > 0 {
		t.Fatalf("%d pages not read, want 0", len(s.reads))
	}
}

// Guards against servers that are never removed: the store has compacted the history in which they left and refuses the
// full read, and the snapshot of another process is older.
func TestOlderPeerSnapshotDoesNotEndFullRead(t *testing.T) {
	s := newStubStore()
	c := s.config()
	revision := uint64(4)
	c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: revision}, nil }
	s.follow(t, c)
	s.watches <- result{err: ErrCompacted}
	s.reads <- result{err: ErrRefused}
	s.expect(t, "lost", "adopt older")
	s.reads <- result{page: Page{Revision: 8}}
	s.expect(t, "regained", "replace during outage")
}

// Guards against a configuration that is never read: it is announced when the store becomes unavailable, and the
// process whose snapshot is read instead has the changes of servers up to the same revision, but an older
// configuration.
func TestReadsConfigurationAfterPeerSnapshot(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		s := newStubStore()
		s.reader = false
		c := s.config()
		c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: 5}, nil }
		if !fresh {
			s.reads <- result{page: Page{Revision: 5}}
		}
		s.reads <- result{err: ErrRefused}
		r, stop := New(c)
		if !fresh {
			s.expect(t, "replace")
			r.Resync(true)
		}
		s.expect(t, "lost", "adopt")
		s.reads <- result{page: Page{Changes: []registry.Change{{Configuration: &registry.Configuration{Version: 2}}}}}
		s.expect(t, "regained", "apply during outage")
		stop()
	}
}

// Guards against a process that reads a peer snapshot on every retry while the store is unavailable.
func TestLimitsRateOfPeerReads(t *testing.T) {
	s := newStubStore()
	s.reader = false
	c := s.config()
	var mu sync.Mutex
	now := time.Second
	c.Now = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: 5}, nil }
	for range 3 {
		s.reads <- result{err: ErrRefused}
	}
	_, stop := New(c)
	defer stop()
	s.expect(t, "lost", "adopt")
	for len(s.reads) > 0 {
		time.Sleep(time.Millisecond)
	}
	if len(s.events) > 0 {
		t.Fatalf("got event %q, want none", <-s.events)
	}
	mu.Lock()
	now += peerReadInterval
	mu.Unlock()
	s.reads <- result{err: ErrRefused}
	s.expect(t, "adopt")
}

// Guards against an old snapshot of a peer that replaces the state read from the store.
func TestDiscardsPeerSnapshotAfterStoreReply(t *testing.T) {
	s := newStubStore()
	c := s.config()
	requested := make(chan struct{})
	c.ReadPeer = func(ctx context.Context) (Page, error) {
		close(requested)
		<-ctx.Done()
		return Page{Revision: 4}, nil
	}
	r, stop := New(c)
	defer stop()
	<-requested
	s.reads <- result{page: Page{Revision: 5}}
	s.expect(t, "replace")
	s.watches <- result{page: Page{Revision: 6}}
	s.expect(t, "apply")
	expectRevision(t, r, 6)
}

// Guards against a process that watches the store although it receives announcements, and against one that does not
// start to watch when ShouldRead returns true.
func TestOnlyReadersWatchStore(t *testing.T) {
	s := newStubStore()
	s.reader = false
	r := s.follow(t, s.config())
	s.watches <- result{page: Page{Revision: 8}}
	r.Advance(history.Position{Revision: 7})
	time.Sleep(3 * roleCheckInterval)
	if len(s.watches) == 0 {
		t.Fatal("the store was watched although ShouldRead returned false")
	}
	s.mu.Lock()
	s.reader = true
	s.mu.Unlock()
	s.expect(t, "apply")
	expectRevision(t, r, 8)
}

// Guards against changes that take effect too late after a lost reply. The watch timeout uses most of the bound, so the
// call must be repeated at once.
func TestLostReplyIsRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	r := &Replica{Config: Config{
		Lost: func(error) {}, Now: func() time.Duration { return 0 }, Counters: counter.New(),
	}, synced: true}
	is.True(r.recordFailure(context.DeadlineExceeded, r.Now()) <= 100*time.Millisecond)
}

// Guards against a configuration that all processes of a large fleet read from the store although another one has it,
// against one that is never read because that process fails, and against an outage of the store that seems to end with
// the reply of another process.
func TestReadsConfigurationOfPeerFirst(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	s.reader = false
	c := s.config()
	peer := make(chan result, 2)
	c.ReadPeerConfiguration = func(ctx context.Context) (Page, error) { return receive(ctx, peer) }
	r := s.follow(t, c)
	reads := c.Counters.Counter("store-reads").Count()
	peer <- result{page: Page{Changes: []registry.Change{{Configuration: &registry.Configuration{Version: 2}}}}}
	r.Resync(true)
	s.expect(t, "adopt older")
	is.Equal(c.Counters.Counter("store-reads").Count(), reads)
	peer <- result{err: ErrRefused}
	s.reads <- result{page: Page{Changes: []registry.Change{{Configuration: &registry.Configuration{Version: 3}}}}}
	r.Resync(true)
	s.expect(t, "apply")
	is.Equal(c.Counters.Counter("store-reads").Count(), reads+1)

	s.reads <- result{err: ErrRefused}
	peer <- result{err: ErrRefused}
	r.Resync(true)
	s.expect(t, "lost")
	peer <- result{page: Page{Changes: []registry.Change{{Configuration: &registry.Configuration{Version: 4}}}}}
	s.expect(t, "adopt older")
	is.True(r.StoreDown())
}

// Guards against a full read of all pages for a few changes whose announcements were lost, and against losing the
// request when the store refuses the call.
func TestCatchUpReadsOnlyChanges(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	s.reader = false
	c := s.config()
	r := s.follow(t, c)
	reads := c.Counters.Counter("store-reads").Count()
	r.CatchUp()
	s.watches <- result{err: ErrRefused}
	s.expect(t, "lost")
	s.watches <- result{page: Page{Revision: 9, Changes: []registry.Change{{Name: "i-1", Revision: 9}}}}
	s.expect(t, "regained")
	s.expect(t, "apply during outage")
	expectRevision(t, r, 9)
	is.Equal(c.Counters.Counter("store-reads").Count(), reads)
	r.CatchUp()
	s.watches <- result{err: ErrCompacted}
	s.reads <- result{page: Page{Revision: 12}}
	s.expect(t, "replace during outage")
}

// Guards against a configuration that is not read although another process announced it.
func TestReadsConfigurationOnRequest(t *testing.T) {
	s := newStubStore()
	s.reader = false
	r := s.follow(t, s.config())
	r.Resync(true)
	s.reads <- result{page: Page{Changes: []registry.Change{{Configuration: &registry.Configuration{Version: 2}}}}}
	s.expect(t, "apply")
}

// Guards against full reads that never end when a large fleet starts at once: the store refuses calls above its limit,
// and a full read that starts over after each refusal exhausts the limit for all processes.
func TestResumesFullReadAtRefusedPage(t *testing.T) {
	s := newStubStore()
	c := s.config()
	positions := make(chan string, 10)
	replies := make(chan result, 10)
	c.Read = func(ctx context.Context, after string) (Page, error) {
		positions <- after
		return receive(ctx, replies)
	}
	replies <- result{page: Page{Revision: 5, Next: "page-2"}}
	replies <- result{err: ErrRefused}
	replies <- result{page: Page{Revision: 6}}
	replies <- result{page: Page{Revision: 6}}
	_, stop := New(c)
	defer stop()
	for _, want := range []string{"", "page-2", "page-2"} {
		if got := <-positions; got != want {
			t.Fatalf("got a read after position %q, want %q", got, want)
		}
	}
}

// Guards against changes that are never applied after the store was restored: a watch that continues from a revision of
// the lost history lacks the changes whose revisions were given out again.
func TestRestoredStoreIsReadAgain(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	since := make(chan uint64, 10)
	c.Watch = func(ctx context.Context, after uint64, _ time.Duration) (Page, error) {
		since <- after
		return receive(ctx, s.watches)
	}
	var restored []history.Position
	c.Restored = func(before, at history.Position) { restored = append(restored, before, at) }
	r := s.followFrom(t, c, Page{Era: 1, Revision: 9})
	s.watches <- result{page: Page{Era: 2, Revision: 10, Changes: []registry.Change{{Name: "i-1", Revision: 10}}}}
	s.reads <- result{page: Page{Era: 2, Revision: 7}}
	s.expect(t, "replace during outage") // Missing entries may be written again.
	s.watches <- result{page: Page{Era: 2, Revision: 8, Changes: []registry.Change{{Name: "i-1", Revision: 8}}}}
	s.expect(t, "apply during outage")
	is.Equal([]uint64{<-since, <-since}, []uint64{9, 7})
	expectRevision(t, r, 8)
	is.Equal(restored, []history.Position{{Era: 1, Revision: 9}, {Era: 2, Revision: 7}})
	is.Equal(c.Counters.Values()["store-restored"], int64(1))
}

// Guards against a state that goes back to the lost history, because a reply was delayed until after the restore.
func TestReplyOfEarlierEraIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	r := s.followFrom(t, c, Page{Era: 2, Revision: 5})
	s.watches <- result{page: Page{Era: 1, Revision: 9, Changes: []registry.Change{{Name: "i-1", Revision: 9}}}}
	s.expect(t, "lost")
	s.watches <- result{page: Page{Era: 2, Revision: 6}}
	s.expect(t, "regained", "apply during outage")
	expectRevision(t, r, 6)
	is.Equal(c.Counters.Values()["store-retry-outdated"], int64(1))
}

// Guards against a state that is put together from the pages of two eras.
func TestFullReadStartsOverInLaterEra(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	var replaced []registry.Change
	c.Replace = func(changes []registry.Change, _ history.Position, _ time.Duration, _ bool) {
		replaced = changes
		s.record("replace")
	}
	s.reads <- result{page: Page{Era: 1, Revision: 9, Next: "i-1", Changes: []registry.Change{{Name: "i-1"}}}}
	s.reads <- result{page: Page{Era: 2, Revision: 7, Changes: []registry.Change{{Name: "i-3"}}}}
	s.reads <- result{page: Page{Era: 2, Revision: 7, Changes: []registry.Change{{Name: "i-2"}}}}
	r, stop := New(c)
	defer stop()
	s.expect(t, "replace")
	is.Equal(replaced, []registry.Change{{Name: "i-2"}})
	expectRevision(t, r, 7)
}

// Guards against an entry VM that keeps the lost history although another one announced a later era, and against a
// state that is never received because that one fails.
func TestFetchesStateOfLaterEra(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	s.reader = false
	c := s.config()
	peer := make(chan result, 2)
	c.ReadPeerState = func(ctx context.Context) (Page, error) { return receive(ctx, peer) }
	r := s.followFrom(t, c, Page{Era: 1, Revision: 9})
	expectRevision(t, r, 9)
	r.Advance(history.Position{Era: 2, Revision: 20}) // Changes alone do not lead to the next era.
	is.Equal(r.Position(), history.Position{Era: 1, Revision: 9})
	peer <- result{page: Page{Era: 2, Revision: 7}}
	r.FetchState(2)
	is.True(!r.Consistent())
	s.expect(t, "adopt")
	expectRevision(t, r, 7)
	is.True(r.Consistent()) // It changes together with the position.
	is.True(r.StoreDown())
}

// Guards against an entry VM that never receives the state of a later era, because the one that announced it fails, and
// against one that takes all replies of the store for outdated after the announcement of an era that does not exist.
func TestReadsStoreAfterFalseEra(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	s.reader = false
	c := s.config()
	peer := make(chan result, 2)
	c.ReadPeerState = func(ctx context.Context) (Page, error) { return receive(ctx, peer) }
	r := s.followFrom(t, c, Page{Era: 1, Revision: 9})
	expectRevision(t, r, 9)
	peer <- result{err: ErrRefused}
	s.reads <- result{page: Page{Era: 1, Revision: 10}}
	r.FetchState(1 << 60)
	s.expect(t, "replace")
	expectRevision(t, r, 10)
	is.True(r.Consistent())
	r.FetchState(1 << 61) // Too early for another attempt.
	is.True(r.Consistent())
	is.Equal(c.Counters.Values()["peer-retry-state"], int64(1))
	is.Equal(c.Counters.Values()["store-retry-outdated"], int64(0))
}

// Guards against thousands of full reads in quick succession from a store that drops its history again and again.
func TestRepeatedCompactionBacksOff(t *testing.T) {
	s := newStubStore()
	c := s.config()
	c.Watch = func(context.Context, uint64, time.Duration) (Page, error) { return Page{}, ErrCompacted }
	c.Read = func(context.Context, string) (Page, error) { return Page{Revision: 5}, nil }
	c.Replace = func([]registry.Change, history.Position, time.Duration, bool) {}
	_, stop := New(c)
	time.Sleep(300 * time.Millisecond)
	stop()
	if reads := c.Counters.Values()["store-reads"]; reads < 2 || reads > 10 {
		t.Fatalf("got %d full reads in 300ms, want 2 to 10", reads)
	}
}

// Guards against an entry VM that does not take the configuration of its zone while its own watch is silent.
func TestAnnouncedConfigurationEndsSilentWatch(t *testing.T) {
	s := newStubStore()
	c := s.config()
	c.ReadPeerConfiguration = func(context.Context) (Page, error) { return Page{}, nil }
	watching := make(chan struct{}, 10)
	c.Watch = func(ctx context.Context, _ uint64, _ time.Duration) (Page, error) {
		watching <- struct{}{}
		return receive(ctx, s.watches)
	}
	r := s.follow(t, c)
	<-watching
	r.Resync(true)
	s.expect(t, "adopt older")
	<-watching // The store is watched again, and counts as available.
	s.watches <- result{page: Page{Revision: 9}}
	s.expect(t, "apply")
	expectRevision(t, r, 9)
}

// Guards against missing changes that are not read while the own watch is silent.
func TestMissingChangesEndSilentWatch(t *testing.T) {
	s := newStubStore()
	c := s.config()
	waits := make(chan time.Duration, 10)
	c.Watch = func(ctx context.Context, _ uint64, wait time.Duration) (Page, error) {
		waits <- wait
		return receive(ctx, s.watches)
	}
	r := s.follow(t, c)
	<-waits
	r.CatchUp()
	if wait := <-waits; wait != catchUpWait {
		t.Fatalf("got a watch of %v, want one of %v", wait, catchUpWait)
	}
}

// Guards against an entry VM that waits for its next call to the store before it takes the configuration of its zone.
func TestAnnouncedConfigurationEndsBackoff(t *testing.T) {
	s := newStubStore()
	c := s.config()
	c.ReadPeerConfiguration = func(context.Context) (Page, error) { return Page{}, nil }
	r := s.follow(t, c)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.pause(time.Minute)
	}()
	r.Resync(true)
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the pause did not end before the timeout")
	}
}

// Guards against a back-off that is added to the time in which a call was silent.
func TestSilentCallIsRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	var now time.Duration
	c.Now = func() time.Duration { return now }
	r := &Replica{Config: c, failures: 10}
	now = maxBackoff
	is.Equal(r.recordFailure(context.DeadlineExceeded, 0), time.Duration(0))
	is.True(r.recordFailure(ErrRefused, now) >= maxBackoff/2)
}

// Guards against a silent channel that is noticed later because the watch on it began after the delay for a batch.
func TestWatchAfterBatchIsShorter(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	c := s.config()
	c.BatchDelay = 20 * time.Millisecond
	waits := make(chan time.Duration, 10)
	c.Watch = func(ctx context.Context, _ uint64, wait time.Duration) (Page, error) {
		waits <- wait
		return receive(ctx, s.watches)
	}
	s.follow(t, c)
	<-waits
	s.watches <- result{page: Page{Revision: 6, Changes: []registry.Change{{Name: "i-1", Revision: 6}}}}
	s.expect(t, "apply")
	is.True(<-waits <= c.WatchTimeout()-c.BatchDelay)
}

// Guards against an entry VM that exceeds the bounds of the state, because the first snapshot that it gets instead of the
// changes since a gap does not have all of them.
func TestGapIsClosedAfterOlderPeerState(t *testing.T) {
	is := is.New(t)
	s := newStubStore()
	s.reader = false
	c := s.config()
	revisions := make(chan uint64, 2)
	revisions <- 12
	revisions <- 20
	c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: <-revisions}, nil }
	c.ReadPeerConfiguration = func(context.Context) (Page, error) { return Page{}, nil }
	r := s.follow(t, c)
	r.CatchUp() // No call for the changes gets a reply.
	s.expect(t, "lost", "adopt", "adopt older")
	started := c.Now()
	s.expect(t, "adopt")
	is.True(c.Now()-started < 2*time.Second) // The next one was allowed after 3 s.
	expectRevision(t, r, 20)
}

// Guards against an entry VM that never gets the changes since a gap, because they do not fit through its link in time.
func TestChangesThatTakeTooLongComeFromPeer(t *testing.T) {
	s := newStubStore()
	s.reader = false
	c := s.config()
	c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: 20}, nil }
	r := s.follow(t, c)
	r.CatchUp() // The call gets no reply.
	s.expect(t, "lost", "adopt")
	expectRevision(t, r, 20)
}
