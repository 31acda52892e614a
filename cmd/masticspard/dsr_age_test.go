package main

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/registry"
)

// storePath is the path of one daemon to the store. While it is silent, calls are accepted and get no reply.
type storePath struct {
	address netip.AddrPort
	silent  atomic.Bool
	calls   atomic.Int64
}

func (s *dsrSite) newStorePath() *storePath {
	p := &storePath{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		reply := httptest.NewRecorder()
		if !p.silent.Load() {
			s.store.ServeHTTP(reply, r)
		}
		if p.silent.Load() {
			<-r.Context().Done()
			return
		}
		for key, values := range reply.Header() {
			w.Header()[key] = values
		}
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes())
	}))
	s.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	p.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return p
}

// startZoneWithPaths starts n daemons of one availability zone, each with its own path to the store, and waits until two
// of them watch the store.
func (s *dsrSite) startZoneWithPaths(n int) (all []*dsrDaemon, paths []*storePath) {
	var contact netip.AddrPort
	for i := range n {
		set := s.settings("entry-" + string(rune('a'+i)))
		if i == 0 {
			contact = set.PeerAddress
		} else {
			set.Contacts = []netip.AddrPort{contact}
		}
		set.PeerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), contact.Port())
		path := s.newStorePath()
		set.Store = path.address
		d, _ := s.start(set)
		all, paths = append(all, d), append(paths, path)
		s.waitFor("ready", isReady(set))
	}
	time.Sleep(2*all[0].settings.WatchTimeout() + time.Second) // Readers announce, and the first watches of others end.
	s.waitFor("two daemons that watch", func() bool {
		watching := 0
		for _, d := range all {
			d.mu.Lock()
			members := len(d.peers.list.Active())
			d.mu.Unlock()
			if members < n {
				return false
			}
			if d.shouldRead() {
				watching++
			}
		}
		return watching == 2
	})
	return all, paths
}

// readyHosts returns the number of servers that may receive new flows.
func (d *dsrDaemon) readyHosts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, l := range d.engine.Registry.Hosts("standdesk") {
		if l.State == registry.StateReady {
			n++
		}
	}
	return n
}

// Guards against new flows to a leaving server and an outdated configuration, because the readers of a zone get no reply
// from the store and announce their state as if it was current, while the store serves the other VMs of the zone.
func TestDSRUnansweredReadersDoNotCount(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1", "i-2")
	all, paths := s.startZoneWithPaths(6)
	var served []*dsrDaemon
	for i, d := range all {
		if d.shouldRead() {
			paths[i].silent.Store(true)
		} else {
			served = append(served, d)
		}
	}
	is.Equal(len(served), 4)
	bound := served[0].settings.Bound()
	s.putHost("i-2", true)
	acknowledged := time.Now()
	for _, d := range served {
		s.waitFor("one ready server", func() bool { return d.readyHosts() == 1 })
	}
	if took := time.Since(acknowledged); took > bound {
		t.Errorf("the leaving server was used for %v, bound %v", took, bound)
	}
}
