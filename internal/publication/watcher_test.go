package publication

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/document"
	"github.com/masticspar/masticspar/internal/fleet"
	standin "github.com/masticspar/masticspar/internal/standin/platform"
	"github.com/matryer/is"
)

// A client handles the documents as a daemon does: it accepts the greatest version.
type client struct {
	mu       sync.Mutex
	catalog  fleet.Catalog
	list     []VM
	behind   map[fleet.Kind]uint64 // published versions that Behind has reported
	counters *counter.Set
}

func (c *client) watch(t *testing.T, h http.Handler) {
	t.Helper()
	server := httptest.NewServer(h)
	c.counters = counter.New()
	_, stop, err := New(Config{
		URL: server.URL, Seed: 1, Counters: c.counters, WatchTimeout: time.Second, ExchangeTimeout: 100 * time.Millisecond,
		MinBackoff: 20 * time.Millisecond, MaxBackoff: 100 * time.Millisecond,
		Version: c.version,
		HandleDocument: func(kind fleet.Kind, b []byte) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			changed, _ := c.catalog.AcceptBytes(kind, "platform", b)
			return changed
		},
		Behind: func(kind fleet.Kind, published, _ uint64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.behind == nil {
				c.behind = map[fleet.Kind]uint64{}
			}
			c.behind[kind] = published
		},
		HandleVMs: func(list []VM) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.list = list
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		server.Close() // Waits for all connections, so it would block if stop left a watch open.
	})
}

func (c *client) version(kind fleet.Kind) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog.Versions().Of(kind).Number
}

func (c *client) reported(kind fleet.Kind) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.behind[kind]
}

func (c *client) retries(name string) int64 { return c.counters.Values()["platform-retry-"+name] }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(6 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out after 6s waiting for: ", what)
		}
	}
}

func publish(t *testing.T, s *standin.Server, version int) {
	t.Helper()
	for _, kind := range []string{"inventory", "rules"} {
		if err := s.Publish(kind, fmt.Appendf(nil, `{"version":%d}`, version)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a watch that misses an update, does not recover after an outage, or polls a service that serves old
// copies in a tight loop.
func TestWatchReceivesUpdates(t *testing.T) {
	is := is.New(t)
	s, c := &standin.Server{}, &client{}
	publish(t, s, 1)
	is.NoErr(s.SetVMs([]byte(`[{"name":"vm-1","control-address":"127.0.0.1:7","availability-zone":"a","state":"live"}]`)))
	c.watch(t, s.Handler())
	hasVersion := func(n uint64) func() bool {
		return func() bool { return c.version(fleet.Inventory) == n && c.version(fleet.Rules) == n }
	}
	eventually(t, "version 1", hasVersion(1))
	eventually(t, "VM list", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.list) == 1 && c.list[0] == VM{"vm-1", "127.0.0.1:7", "a", "live"}
	})
	publish(t, s, 2)
	eventually(t, "version 2", hasVersion(2))
	s.SetDown(true)
	eventually(t, "retry", func() bool { return c.retries("status-rules") >= 2 })
	publish(t, s, 3)
	s.SetDown(false)
	eventually(t, "version 3", hasVersion(3))
	s.SetStale(true)
	eventually(t, "old copy", func() bool { return c.retries("not-newer-rules") >= 1 })
	before := s.Reads()
	time.Sleep(500 * time.Millisecond)
	is.True(s.Reads()-before <= 2*500/10) // Two watches, each with a backoff of at least half of MinBackoff.
	is.True(hasVersion(3)())
	publish(t, s, 4)
	s.SetStale(false)
	s.SetDelay(50 * time.Millisecond)
	eventually(t, "version 4", hasVersion(4))
}

// Guards against a watch that waits on an unresponsive connection or continues to use its local port.
func TestReplacesUnresponsiveConnection(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var ports []string
	c := &client{}
	c.watch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/documents/rules" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		mu.Lock()
		ports = append(ports, r.RemoteAddr)
		n := len(ports)
		mu.Unlock()
		if n == 1 {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprint(w, `{"version":1}`)
	}))
	eventually(t, "version 1", func() bool { return c.version(fleet.Rules) == 1 })
	mu.Lock()
	defer mu.Unlock()
	is.True(ports[0] != ports[1])
	is.Equal(c.retries("timeout-rules"), int64(1))
}

// Guards against a response of unlimited size that is read into memory, and against a tight loop of retries after an
// early response or one that is not a list.
func TestRetriesAfterFaultyResponse(t *testing.T) {
	c := &client{}
	c.watch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/documents/rules":
			_, _ = w.Write(make([]byte, document.MaxSize+2))
		case "/documents/inventory":
			w.WriteHeader(http.StatusNotModified)
		default:
			_, _ = fmt.Fprint(w, `{}`)
		}
	}))
	eventually(t, "retries", func() bool {
		return c.retries("too-large-rules") > 0 && c.retries("early-inventory") > 0 && c.retries("decode-vms") > 0
	})
}

// Guards against an invalid URL that is only detected by the first read.
func TestNewRefusesInvalidURL(t *testing.T) {
	for _, u := range []string{"", "ftp://host", "http://", "host:80"} {
		if _, _, err := New(Config{
			URL: u, Version: func(fleet.Kind) uint64 { return 0 },
			HandleDocument: func(fleet.Kind, []byte) bool { return false },
		}); err == nil {
			t.Error(u)
		}
	}
}

// Guards against a publication that is confirmed, but neither active nor refused: the service was restored from a copy
// and gives versions out again, while the active one is greater. The active version must never go back.
func TestPublicationAfterRestoreIsReported(t *testing.T) {
	is := is.New(t)
	var s standin.Server
	c := &client{}
	c.watch(t, s.Handler())
	for version := 1; version <= 3; version++ {
		publish(t, &s, version)
	}
	eventually(t, "version 3", func() bool { return c.version(fleet.Rules) == 3 })
	reads := s.Reads()
	s.Restore(2)
	eventually(t, "report of version 1", func() bool { return c.reported(fleet.Rules) == 1 })
	publish(t, &s, 2)
	eventually(t, "report of version 2", func() bool { return c.reported(fleet.Rules) == 2 })
	is.Equal(c.version(fleet.Rules), uint64(3))
	is.NoErr(s.Publish("rules", []byte(`{"version":3,"services":[]}`))) // Other content than the active version 3.
	eventually(t, "refusal of the conflict", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return strings.Contains(c.catalog.LastRefusal().Error, "other content")
	})
	is.NoErr(s.Publish("rules", []byte(`{"version":4}`)))
	eventually(t, "version 4", func() bool { return c.version(fleet.Rules) == 4 })
	is.True(s.Reads()-reads < 40)
}
