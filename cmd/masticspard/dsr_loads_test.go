package main

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/registry"
)

// Guards against load reports that are not sent, not applied, not passed to the placement or not ended, and against a
// daemon that stops because of a malformed one or of a kind of a later version.
func TestDSRReportsLoadedServers(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	first := s.settings("entry-1")
	a, _ := s.start(first)
	s.waitFor("ready", isReady(first))
	second := s.settings("entry-2", first.PeerAddress)
	second.PeerAddress = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.PeerAddress.Port())
	b, _ := s.start(second)
	s.waitFor("ready", isReady(second))
	locked := func(d *dsrDaemon, f func() bool) func() bool {
		return func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return f()
		}
	}
	s.waitFor("members", locked(a, func() bool { return len(a.peers.list.Active()) == 2 }))
	token := registry.NewToken("i-1", 1)
	shared := func() (placement.Shared, bool) { return b.engine.Placement.Shared(b.timer.Now(), token) }
	setLoaded := func(loaded bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.setLoaded(a.timer.Now(), token, loaded)
	}
	a.mu.Lock()
	for _, kind := range []flowevent.Kind{flowevent.Requested, flowevent.Answered, flowevent.Requested} {
		e := flowevent.Event{Kind: kind, Host: token, Elapsed: 400 * time.Millisecond}
		a.engine.Flows.Observe(a.timer.Now(), e)
	}
	a.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	is.Equal(a.counters.Values()["load-reports-sent"], int64(0))
	setLoaded(true)
	s.waitFor("the estimate at the other daemon", locked(b, func() bool {
		e, ok := shared()
		return ok && e.ResponseTime == 400*time.Millisecond && e.Outstanding > 0.5 && e.Outstanding < 1.5
	}))
	for _, datagram := range [][]byte{{kindLoadReport, 0xff}, {kindLoadReport + 1}} {
		_, err := s.caller.WriteToUDPAddrPort(datagram, second.PeerAddress)
		is.NoErr(err)
	}
	s.waitFor("refusals", func() bool { return b.counters.Values()["messages-refused"] == 2 })
	is.Equal(b.counters.Values()["load-reports-refused-malformed"], int64(1))
	s.send(second.DataAddress, 4000, conntrack.Packet{SYN: true})
	p, _ := s.packet(s.receive(s.hosts["i-1"], dsrTimeout))
	is.Equal(p.Token, token)
	setLoaded(false)
	s.waitFor("the end of the estimate", locked(b, func() bool {
		_, ok := shared()
		return !ok
	}))
}
