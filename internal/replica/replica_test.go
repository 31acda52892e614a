package replica

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/registry"
)

// fakeStore is a store whose next answers are given; it blocks when there are none.
type fakeStore struct {
	reads, watches chan result
	mu             sync.Mutex
	log            []string
	events         chan string
	shouldRead     bool
}

type result struct {
	page Page
	err  error
}

func newFakeStore() *fakeStore {
	return &fakeStore{reads: make(chan result, 10), watches: make(chan result, 10), events: make(chan string, 100), shouldRead: true}
}

func receive(ctx context.Context, from chan result) (Page, error) {
	select {
	case r := <-from:
		return r.page, r.err
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
}

func (s *fakeStore) record(event string) {
	s.mu.Lock()
	s.log = append(s.log, event)
	s.mu.Unlock()
	s.events <- event
}

func (s *fakeStore) config() Config {
	start := time.Now()
	return Config{
		Read:  func(ctx context.Context, _ string) (Page, error) { return receive(ctx, s.reads) },
		Watch: func(ctx context.Context, _ uint64, _ time.Duration) (Page, error) { return receive(ctx, s.watches) },
		ReadConfiguration: func(ctx context.Context) (Page, error) {
			return receive(ctx, s.reads)
		},
		Replace: func(_ []registry.Change, _ uint64, storeDown bool) { s.record(event("replace", storeDown)) },
		Apply:   func(_ []registry.Change, _, _ uint64, storeDown bool) { s.record(event("apply", storeDown)) },
		Adopt: func(_ []registry.Change, _ uint64, complete bool) {
			if complete {
				s.record("adopt")
			} else {
				s.record("adopt older")
			}
		},
		ShouldRead: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.shouldRead
		},
		Lost: func(error) { s.record("lost") }, Regained: func(time.Duration) { s.record("regained") },
		Now:          func() time.Duration { return time.Since(start) },
		WatchTimeout: time.Minute, Counters: counter.New(),
	}
}

func event(name string, storeDown bool) string {
	if storeDown {
		return name + " away"
	}
	return name
}

func (s *fakeStore) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		select {
		case got := <-s.events:
			if got != w {
				t.Fatalf("got %q, want %q; all: %v", got, w, s.log)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%q did not come; all: %v", w, s.log)
		}
	}
}

// follow starts a replica that has read revision 5.
func (s *fakeStore) follow(t *testing.T, c Config) *Replica {
	t.Helper()
	s.reads <- result{page: Page{Revision: 5}}
	r, stop := New(c)
	t.Cleanup(stop)
	s.expect(t, "replace")
	return r
}

// Guards against a replica that does not read again when the store has dropped its history, and against changes in
// between that are lost.
func TestReadsStoreAgainAfterCompaction(t *testing.T) {
	s := newFakeStore()
	r := s.follow(t, s.config())
	s.watches <- result{err: ErrCompacted}
	s.reads <- result{page: Page{Revision: 9}}
	s.expect(t, "replace")
	if r.Revision() != 9 {
		t.Fatalf("revision %d", r.Revision())
	}
}

// Guards against servers that are taken for gone because the store was away, and against an outage that is told twice.
func TestReportsOutageOnce(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	c := s.config()
	s.follow(t, c)
	s.watches <- result{err: ErrRefused}
	s.watches <- result{err: errors.New("reset")}
	s.watches <- result{page: Page{Revision: 6, Changes: []registry.Change{{Name: "i-1"}}}}
	s.expect(t, "lost", "regained", "apply away")
	is.Equal(c.Counters.Values()["store-retry-refused"], int64(1))
	is.Equal(c.Counters.Values()["store-retry-unreachable"], int64(1))
}

// Guards against a stop that looks like an outage of the store in the log.
func TestStopReportsNoOutage(t *testing.T) {
	s := newFakeStore()
	_, stop := New(s.config())
	s.reads <- result{page: Page{Revision: 5}}
	s.expect(t, "replace")
	stop()
	if len(s.events) > 0 {
		t.Fatalf("told %q", <-s.events)
	}
}

// Guards against a fresh process that waits for the timeout of the store although another process has a picture.
func TestFreshProcessReadsPeerWhileStoreIsSlow(t *testing.T) {
	s := newFakeStore()
	c := s.config()
	c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: 4}, nil }
	_, stop := New(c)
	defer stop()
	s.expect(t, "adopt") // The store has not answered yet.
	s.reads <- result{page: Page{Revision: 5}}
	s.expect(t, "replace")
}

// Guards against a fleet that starts at once and in which all processes ask the few contacts, while the store answers.
func TestDoesNotReadPeersWhileStoreReplies(t *testing.T) {
	s := newFakeStore()
	c := s.config()
	c.ReadPeer = func(context.Context) (Page, error) {
		t.Error("a peer was asked")
		return Page{}, nil
	}
	s.reads <- result{page: Page{Revision: 5, Next: "page-2"}}
	r, stop := New(c)
	defer stop()
	time.Sleep(2 * peerDelay) // The second page takes longer.
	s.reads <- result{page: Page{Revision: 5}}
	s.expect(t, "replace")
	if r.Revision() != 5 {
		t.Fatalf("revision %d", r.Revision())
	}
}

// Guards against pages that are still read from a slow store after another process has told the state.
func TestPeerSnapshotEndsFullRead(t *testing.T) {
	s := newFakeStore()
	c := s.config()
	c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: 4}, nil }
	r, stop := New(c)
	defer stop()
	s.expect(t, "adopt")
	s.reads <- result{page: Page{Revision: 5, Next: "page-2"}}
	s.reads <- result{page: Page{}} // The configuration; a second page would be told as "replace".
	s.watches <- result{page: Page{Revision: 6}}
	s.expect(t, "apply", "apply")
	if r.Revision() != 6 || len(s.reads) > 0 {
		t.Fatalf("revision %d, %d pages not read", r.Revision(), len(s.reads))
	}
}

// Guards against servers that are kept for ever: the store has dropped the history in which they left and refuses to be read,
// and the picture of another process is older than that.
func TestOlderPeerSnapshotDoesNotEndFullRead(t *testing.T) {
	s := newFakeStore()
	c := s.config()
	revision := uint64(4)
	c.ReadPeer = func(context.Context) (Page, error) { return Page{Revision: revision}, nil }
	s.follow(t, c)
	s.watches <- result{err: ErrCompacted}
	s.reads <- result{err: ErrRefused}
	s.expect(t, "lost", "adopt older")
	s.reads <- result{page: Page{Revision: 8}}
	s.expect(t, "regained", "replace away")
}

// Guards against a configuration that is never read: it was announced when the store went away, and the process that was
// asked instead had the changes of servers up to the same revision, but an older configuration.
func TestReadsConfigurationAfterPeerSnapshot(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		s := newFakeStore()
		s.shouldRead = false
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
		s.expect(t, "regained", "apply away")
		stop()
	}
}

// Guards against pictures that are fetched again and again while the store is away.
func TestLimitsRateOfPeerReads(t *testing.T) {
	s := newFakeStore()
	s.shouldRead = false
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
		t.Fatalf("told %q", <-s.events)
	}
	mu.Lock()
	now += peerReadInterval
	mu.Unlock()
	s.reads <- result{err: ErrRefused}
	s.expect(t, "adopt")
}

// Guards against an old picture of a peer that replaces what the store has told.
func TestDiscardsPeerSnapshotAfterStoreReply(t *testing.T) {
	s := newFakeStore()
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
	if r.Revision() != 6 {
		t.Fatalf("revision %d", r.Revision())
	}
}

// Guards against calls to the store by a process that hears announcements, and against one that does not take over.
func TestOnlyReadersWatchStore(t *testing.T) {
	s := newFakeStore()
	s.shouldRead = false
	r := s.follow(t, s.config())
	s.watches <- result{page: Page{Revision: 8}}
	r.Advance(7)
	time.Sleep(3 * roleCheckInterval)
	if len(s.watches) == 0 {
		t.Fatal("a process that is no reader waited for changes")
	}
	s.mu.Lock()
	s.shouldRead = true
	s.mu.Unlock()
	s.expect(t, "apply")
	if r.Revision() != 8 {
		t.Fatalf("revision %d", r.Revision())
	}
}

// Guards against a new configuration that another process announced and that is not read.
func TestReadsConfigurationOnRequest(t *testing.T) {
	s := newFakeStore()
	s.shouldRead = false
	r := s.follow(t, s.config())
	r.Resync(true)
	s.reads <- result{page: Page{Changes: []registry.Change{{Configuration: &registry.Configuration{Version: 2}}}}}
	s.expect(t, "apply")
}

// Guards against a large fleet that starts at once and never ends its readings: the store refuses calls above its limit, and
// a reading that begins again after each refusal uses the limit up for all.
func TestResumesFullReadAtRefusedPage(t *testing.T) {
	s := newFakeStore()
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
			t.Fatalf("read after %q, want %q", got, want)
		}
	}
}
