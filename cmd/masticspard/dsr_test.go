package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/masticspar/masticspar/internal/announce"
	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/document"
	"github.com/masticspar/masticspar/internal/dsr"
	dsrsettings "github.com/masticspar/masticspar/internal/dsr/settings"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/registry"
	standin "github.com/masticspar/masticspar/platform/standin/store"
	"github.com/masticspar/masticspar/platform/standin/wire"
)

// dsrTimeout bounds each wait for a daemon.
const dsrTimeout = 20 * time.Second

var dsrRoute = netip.MustParseAddrPort("198.18.0.1:443")

// dsrSite has a stand-in of the store, and loopback sockets in place of the servers and callers.
type dsrSite struct {
	*testing.T
	store   *standin.Server
	address netip.AddrPort
	caller  *net.UDPConn
	hosts   map[string]*net.UDPConn
	reports int64 // of all servers
}

func newDSRSite(t *testing.T, hosts ...string) *dsrSite {
	s := &dsrSite{T: t, store: &standin.Server{}, hosts: map[string]*net.UDPConn{}}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	s.caller = s.listenUDP("127.0.0.1:0")
	s.putConfiguration(1, registry.Route{
		Name: "job-board", Address: dsrRoute, Idempotent: true, Timeout: time.Second, TargetLatency: 150 * time.Millisecond,
		Targets: []registry.Target{{Service: "standdesk", Weight: 1}},
	})
	for _, name := range hosts {
		s.hosts[name] = s.listenUDP("127.0.0.1:0")
		s.putHost(name, false)
	}
	return s
}

func (s *dsrSite) listenUDP(address string) *net.UDPConn {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	must(s, err)
	s.Cleanup(func() { _ = c.Close() })
	return c
}

func (s *dsrSite) putConfiguration(version uint64, routes ...registry.Route) {
	s.store.Put(wire.ConfigurationKey, wire.ConfigurationEntry(&registry.Configuration{Version: version, Routes: routes}))
}

func (s *dsrSite) putHost(name string, leaving bool) {
	s.reports++
	s.store.Put(wire.HostKey(name), wire.HostEntry(&registry.Host{
		Service: "standdesk", Address: s.hosts[name].LocalAddr().(*net.UDPAddr).AddrPort(), AvailabilityZone: "wa-perth",
		Slots: 2, Leaving: leaving, Started: 1, Sequence: s.reports,
	}))
}

// freeAddress returns a loopback address with a port that is free at the moment of the call.
func (s *dsrSite) freeAddress(network string) netip.AddrPort {
	if network == "udp" {
		c := s.listenUDP("127.0.0.1:0")
		defer func() { _ = c.Close() }()
		return c.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(s, err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (s *dsrSite) settings(name string, contacts ...netip.AddrPort) *dsrsettings.Settings {
	set := &dsrsettings.Settings{}
	set.SetDefaults()
	set.Forwarding, set.Name, set.Region, set.AvailabilityZone = dsrsettings.Forwarding, name, "wa", "wa-perth"
	set.DataAddress, set.OperatorAddress = s.freeAddress("udp"), s.freeAddress("tcp")
	set.MetricsAddress = set.OperatorAddress
	set.PeerAddress, set.Contacts = s.freeAddress("tcp"), contacts
	set.Store, set.CallerPort = s.address, s.caller.LocalAddr().(*net.UDPAddr).Port
	must(s, set.Validate("test"))
	return set
}

func (s *dsrSite) start(set *dsrsettings.Settings) (*dsrDaemon, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	d, stop, err := newDSRDaemon(set, zap.New(core))
	must(s, err)
	s.Cleanup(stop)
	return d, logs
}

// startZone starts daemons of one availability zone and returns all of them and one that does not watch the store.
func (s *dsrSite) startZone(n int) (all []*dsrDaemon, follower *dsrDaemon) {
	var contact netip.AddrPort
	for i := range n {
		set := s.settings(fmt.Sprint("entry-", i))
		if i == 0 {
			contact = set.PeerAddress
		} else {
			set.Contacts = []netip.AddrPort{contact}
		}
		set.PeerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), contact.Port())
		d, _ := s.start(set)
		all = append(all, d)
		s.waitFor("ready", isReady(set))
	}
	s.waitFor("a daemon that does not watch", func() bool {
		for _, d := range all {
			d.mu.Lock()
			members := len(d.peers.list.Active())
			d.mu.Unlock()
			if members < len(all) {
				return false
			}
		}
		time.Sleep(2 * time.Second) // Daemons that have just started do not watch.
		for _, d := range all {
			if !d.shouldRead() {
				follower = d
			}
		}
		return follower != nil
	})
	return all, follower
}

// waitFor polls f until it returns true, and fails the test after dsrTimeout.
func (s *dsrSite) waitFor(what string, f func() bool) {
	s.Helper()
	for end := time.Now().Add(dsrTimeout); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// isReady returns a function that reports whether the daemon with the given settings is ready.
func isReady(set *dsrsettings.Settings) func() bool {
	return func() bool {
		r, err := http.Get("http://" + set.OperatorAddress.String() + "/ready")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	}
}

// send sends a packet as a caller with the given port.
func (s *dsrSite) send(to netip.AddrPort, port uint16, p conntrack.Packet) {
	caller := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	_, err := s.caller.WriteToUDPAddrPort(wire.Encode(&wire.Packet{Packet: p}, caller, dsrRoute), to)
	must(s, err)
}

// receive returns the next datagram that arrives at c, or nil after wait.
func (s *dsrSite) receive(c *net.UDPConn, wait time.Duration) []byte {
	b := make([]byte, 2048)
	must(s, c.SetReadDeadline(time.Now().Add(wait)))
	n, err := c.Read(b)
	if err != nil {
		return nil
	}
	return b[:n]
}

// packet decodes a datagram to a server. It returns the packet and the number of the server that it is addressed to.
func (s *dsrSite) packet(b []byte) (*wire.Packet, uint64) {
	s.Helper()
	if len(b) < wire.HostNumberSize {
		s.Fatalf("datagram of %d bytes is shorter than the server number", len(b))
	}
	p, err := wire.Decode(b[wire.HostNumberSize:])
	must(s, err)
	return p, binary.BigEndian.Uint64(b)
}

// Guards against failures of the whole forwarding path: the second daemon receives a packet of a flow that it has not
// seen, whose server is leaving, and a SYN arrives for a route that was removed.
func TestDSRForwardsAndResets(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1", "i-2")
	first, second := s.settings("entry-1"), s.settings("entry-2")
	s.start(first)
	s.start(second)
	s.waitFor("both daemons ready", func() bool { return isReady(first)() && isReady(second)() })

	s.send(first.DataAddress, 4000, conntrack.Packet{SYN: true})
	var name string
	var got []byte
	s.waitFor("SYN at a server", func() bool {
		for n, c := range s.hosts {
			if b := s.receive(c, 20*time.Millisecond); b != nil {
				name, got = n, b
			}
		}
		return got != nil
	})
	syn, number := s.packet(got)
	is.Equal(number, uint64(name[2]-'0'))
	s.putHost(name, true)
	s.send(second.DataAddress, 4000, conntrack.Packet{ACK: true, Token: syn.Token})
	p, _ := s.packet(s.receive(s.hosts[name], dsrTimeout))
	is.Equal(p.Token, syn.Token)

	s.putConfiguration(2)
	s.waitFor("reset without a route", func() bool {
		s.send(first.DataAddress, 4001, conntrack.Packet{SYN: true})
		b := s.receive(s.caller, 50*time.Millisecond)
		if b == nil {
			return false
		}
		p, err := wire.Decode(b)
		return err == nil && p.RST && p.Length == 0 && p.Checksum == 0
	})
}

// Guards against a confirmed configuration that is not in force after the store was restored from a copy: its revision
// was given out before, so a watch that continues from the revision of the lost history never returns it.
func TestDSRAppliesConfigurationWithReusedRevision(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	backup := s.store.Backup()
	s.putHost("i-1", false)
	set := s.settings("entry-1")
	d, logs := s.start(set)
	s.waitFor("the lost revision", func() bool { return d.replica.Position().Revision == 3 })
	s.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	s.waitFor("outage of the store", func() bool { return logs.FilterMessage("store-lost").Len() == 1 })
	s.store.Restore(backup)
	s.putConfiguration(2)
	s.putHost("i-1", false)
	s.store.SetFaults(standin.Faults{})
	deadline := time.Now().Add(time.Duration(set.ConfigurationBound) + time.Duration(set.SettleTime))
	for d.configuration().Version != 2 {
		if time.Now().After(deadline) {
			t.Fatalf("got version %d after the bound, want 2", d.configuration().Version)
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(logs.FilterMessage("store-restored").Len(), 1)
}

// Guards against a route that was withdrawn, and a server that had left, being in use again: a daemon restarts while the
// restored store still has the former configuration and entry.
func TestDSRRestartAfterRestoreKeepsWhatWasLost(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1", "i-2")
	backup := s.store.Backup()
	first := s.settings("entry-1")
	d1, _ := s.start(first)
	s.waitFor("ready", isReady(first))
	s.putConfiguration(2)
	s.putHost("i-2", true)
	leaving := func(d *dsrDaemon) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		l := d.engine.Registry.Lifetime(registry.NewToken("i-2", 1))
		return d.engine.Registry.Version() == 2 && l != nil && l.State == registry.StateLeaving
	}
	s.waitFor("the changes that are lost", func() bool { return leaving(d1) })
	s.store.Restore(backup)
	s.waitFor("the restored store", func() bool { return d1.replica.Position().Era == 1 })
	is.True(leaving(d1))
	second := s.settings("entry-2", first.PeerAddress)
	second.PeerAddress = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.PeerAddress.Port())
	d2, _ := s.start(second)
	s.waitFor("ready", isReady(second))
	is.True(leaving(d2))
}

// Guards against a daemon that does not watch the store and keeps the state of the lost history, or reads the store like
// all others of its zone at once.
func TestDSRFollowerGetsStateOfRestoredStore(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	_, follower := s.startZone(3)
	backup := s.store.Backup()
	s.putConfiguration(2)
	s.waitFor("the change that is lost", func() bool { return follower.configuration().Version == 2 })
	reads := follower.counters.Counter("store-reads").Count() + follower.counters.Counter("store-watches").Count()
	s.store.Restore(backup)
	s.putConfiguration(3)
	s.waitFor("the state of the restored store", func() bool {
		return follower.configuration().Version == 3 && follower.replica.Position().Era == 1
	})
	is.Equal(follower.counters.Counter("peer-state-reads").Count(), int64(1))
	is.Equal(follower.counters.Counter("store-reads").Count()+follower.counters.Counter("store-watches").Count(), reads)
}

// Guards against a state of the lost history that counts as fresh, and starts another daemon, because a reader that has
// not noticed a restore of the store continues to announce, or because the state of the announced era is still missing.
func TestDSRAnnouncementOfOtherEraDoesNotRefreshState(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	s.store.Restore(s.store.Backup())
	set := s.settings("entry-1")
	d, logs := s.start(set)
	s.waitFor("ready", isReady(set))
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.replica.Position()
	is.Equal(at.Era, uint64(1))
	later := time.Hour // The confirmations are later than the clock, so that their age is 0.
	for _, era := range []uint64{0, 2, 1} {
		later += time.Second
		d.handleAnnouncement(later, &announce.Message{
			From: "entry-2", Era: era, Since: at.Revision, Revision: at.Revision, Version: 1, Confirms: true,
		})
		is.Equal(d.age() == 0, era == at.Era)
	}
	is.Equal(logs.FilterMessage("announcement-outdated").Len(), 1)
}

// Guards against packets that are lost while a new daemon reads the store, and against a lost packet of a flow whose
// server another entry VM received from the store earlier. Callers would retransmit them only after 200 ms or more.
func TestDSRHoldsPacketsUntilRegistryUpdate(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	s.store.SetFaults(standin.Faults{Delay: 200 * time.Millisecond})
	set := s.settings("entry-1")
	d, _ := s.start(set)
	s.send(set.DataAddress, 4000, conntrack.Packet{SYN: true})
	p, _ := s.packet(s.receive(s.hosts["i-1"], dsrTimeout))
	is.True(p.SYN)

	s.store.SetFaults(standin.Faults{})
	s.waitFor("ready", isReady(set))
	s.hosts["i-2"] = s.listenUDP("127.0.0.1:0")
	token := registry.NewToken("i-2", 1)
	s.send(set.DataAddress, 4001, conntrack.Packet{ACK: true, Token: token})
	held := d.counters.Counter("held-" + dsr.ReasonUnknownToken)
	s.waitFor("held packet", func() bool { return held.Count() == 1 })
	s.putHost("i-2", false)
	p, _ = s.packet(s.receive(s.hosts["i-2"], dsrTimeout))
	is.Equal(p.Token, token)
}

// Guards against a process that ends, with all its flows, because of one packet, message or change that causes a panic.
func TestDSRContainsPanics(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	set := s.settings("entry-1")
	d, logs := s.start(set)
	s.waitFor("ready", isReady(set))
	contained := d.counters.Counter("panics-contained")

	d.mu.Lock()
	observe := d.engine.Flows.Observe
	d.engine.Flows.Observe = func(time.Duration, flowevent.Event) { panic("packet") }
	d.mu.Unlock()
	s.send(set.DataAddress, 4000, conntrack.Packet{SYN: true})
	s.waitFor("panic of a packet", func() bool { return contained.Count() == 1 })
	d.mu.Lock()
	d.engine.Flows.Observe = observe
	d.mu.Unlock()
	s.send(set.DataAddress, 4001, conntrack.Packet{SYN: true})
	p, _ := s.packet(s.receive(s.hosts["i-1"], dsrTimeout))
	is.True(p.SYN)

	d.mu.Lock()
	changed := d.engine.Registry.Changed
	d.engine.Registry.Changed = func(time.Duration, *registry.Lifetime, registry.State) { panic("change") }
	d.mu.Unlock()
	s.putHost("i-1", true)
	s.waitFor("panic of a change", func() bool { return contained.Count() == 2 })
	d.mu.Lock()
	d.engine.Registry.Changed = changed
	d.mu.Unlock()
	s.hosts["i-2"] = s.listenUDP("127.0.0.1:0")
	s.putHost("i-2", false)
	s.waitFor("SYN at the other server", func() bool {
		s.send(set.DataAddress, 4002, conntrack.Packet{SYN: true})
		return s.receive(s.hosts["i-2"], 50*time.Millisecond) != nil
	})

	d.mu.Lock()
	d.peers.list.Changed = func(member.Member) { panic("message") }
	d.mu.Unlock()
	b, err := member.Encode(member.Message{Kind: member.Ping, From: member.Member{
		Name: "entry-9", Zone: "wa-perth", Region: "wa", Size: 1, Incarnation: 1, Control: netip.MustParseAddrPort("127.0.0.9:1"),
		Data: netip.MustParseAddrPort("127.0.0.9:2"),
	}})
	must(t, err)
	_, err = s.caller.WriteToUDPAddrPort(append([]byte{kindMembership}, b...), set.PeerAddress)
	must(t, err)
	s.waitFor("panic of a message", func() bool { return contained.Count() == 3 })
	s.send(set.DataAddress, 4003, conntrack.Packet{SYN: true})
	s.receive(s.hosts["i-2"], dsrTimeout)
	is.Equal(logs.FilterMessage("panic-contained").Len(), 3)
}

// Guards against a daemon that starts beside another one and reads the store all the same, and against one that starts
// with an outdated state: the store is read if the other daemon has not received anything for too long.
func TestDSRStartsWithStateOfAnotherEntryVM(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	first := s.settings("entry-1")
	d1, _ := s.start(first)
	s.waitFor("first daemon serves its state", func() bool { return d1.snapshot(time.Minute) != nil })
	second := s.settings("entry-2", first.PeerAddress)
	// Contacts get the port of the own peer address, so the daemons need different IP addresses.
	second.PeerAddress = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.PeerAddress.Port())
	d2, _ := s.start(second)
	s.waitFor("second daemon ready", isReady(second))
	is.Equal(d2.counters.Counter("bootstrapped-from-peer").Count(), int64(1))
	is.Equal(d2.counters.Counter("store-reads").Count(), int64(0))

	is.True(d1.snapshot(time.Minute) != nil)
	s.store.SetFaults(standin.Faults{NoReply: true})
	s.waitFor("outdated state", func() bool { return d1.snapshot(200*time.Millisecond) == nil })
	is.True(d1.snapshot(0) != nil)
	s.store.SetFaults(standin.Faults{})
	d1.replica.Resync(false) // Its revision may not match its configuration until it has read the store again.
	s.waitFor("consistent state", func() bool { return d1.snapshot(time.Minute) != nil })
}

// Guards against a stop that hangs, because the process still searches for its state: the store does not reply and no
// contact runs.
func TestDSRStopsWhileStarting(t *testing.T) {
	s := newDSRSite(t, "i-1")
	s.store.SetFaults(standin.Faults{NoReply: true})
	set := s.settings("entry-1", netip.MustParseAddrPort("127.0.0.9:7720"))
	_, stop, err := newDSRDaemon(set, zap.NewNop())
	must(t, err)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	select {
	case <-stopped:
	case <-time.After(dsrTimeout):
		t.Fatal("stop did not end before the timeout")
	}
}

// Guards against callers that wait for a server that stopped before a daemon started, when only another daemon has the
// record of that server.
func TestDSRQueriesPeersForUnknownTokens(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	first := s.settings("entry-1")
	s.start(first)
	s.waitFor("ready", isReady(first))
	// Another server gets the address of the server; packets with the token of the former one must be reset.
	s.store.Put(wire.HostKey("i-2"), wire.HostEntry(&registry.Host{
		Service: "standdesk", Address: s.hosts["i-1"].LocalAddr().(*net.UDPAddr).AddrPort(), AvailabilityZone: "wa-perth",
		Slots: 2, Started: 2,
	}))
	s.store.Delete(wire.HostKey("i-1"))
	previous := conntrack.Packet{ACK: true, Token: registry.NewToken("i-1", 1)}
	reset := func(to netip.AddrPort) bool {
		s.send(to, 4000, previous)
		b := s.receive(s.caller, 300*time.Millisecond)
		if b == nil {
			return false
		}
		p, err := wire.Decode(b)
		return err == nil && p.RST
	}
	s.waitFor("reset by the first daemon", func() bool { return reset(first.DataAddress) })
	second := s.settings("entry-2", first.PeerAddress)
	second.PeerAddress = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.PeerAddress.Port())
	d, logs := s.start(second)
	s.waitFor("ready", isReady(second))
	s.waitFor("reset by the second daemon", func() bool { return reset(second.DataAddress) })
	is.Equal(logs.FilterMessage("former-server-learned").Len(), 1)
	is.True(d.counters.Counter("lookup-tokens-asked").Count() > 0)
}

// Guards against resetting the open flows of a live server, because the store executes a report of a former server late:
// of one that had the address before, or of the former start under the same name.
func TestDSRKeepsFlowsOfServerAfterLateReport(t *testing.T) {
	for _, former := range []string{"i-1", "i-2"} {
		t.Run(former, func(t *testing.T) {
			is := is.New(t)
			s := newDSRSite(t)
			server := s.listenUDP("127.0.0.1:0")
			report := func(name string, started, sequence int64) uint64 {
				return s.store.Put(wire.HostKey(name), wire.HostEntry(&registry.Host{
					Service: "standdesk", Address: server.LocalAddr().(*net.UDPAddr).AddrPort(), AvailabilityZone: "wa-perth",
					Slots: 2, Started: started, Sequence: sequence,
				}))
			}
			report(former, 1000, 1)
			s.store.Delete(wire.HostKey(former))
			report("i-2", 2000, 1)
			first := s.settings("entry-1")
			d1, _ := s.start(first)
			s.waitFor("ready", isReady(first))

			s.send(first.DataAddress, 4000, conntrack.Packet{SYN: true})
			syn, _ := s.packet(s.receive(server, dsrTimeout))
			is.Equal(syn.Token, registry.NewToken("i-2", 2000))
			keepsFlow := func(to netip.AddrPort) {
				t.Helper()
				s.send(to, 4000, conntrack.Packet{ACK: true, Token: syn.Token, Sequence: 1})
				is.True(s.receive(s.caller, 50*time.Millisecond) == nil) // The flow must not be reset.
				b := s.receive(server, dsrTimeout)
				is.True(b != nil) // The packet must be forwarded.
				p, number := s.packet(b)
				is.Equal(p.Token, syn.Token)
				is.Equal(number, uint64(2))
			}
			applied := func(d *dsrDaemon, revision uint64) {
				t.Helper()
				s.waitFor("the report", func() bool { return d.replica.Position().Revision >= revision })
			}
			keepsFlow(first.DataAddress)

			applied(d1, report(former, 1000, 2)) // It is executed late.
			keepsFlow(first.DataAddress)
			second := s.settings("entry-2", first.PeerAddress)
			// Contacts get the port of the own peer address, so the daemons need different IP addresses.
			second.PeerAddress = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.PeerAddress.Port())
			d2, _ := s.start(second)
			s.waitFor("ready", isReady(second))
			is.Equal(d2.counters.Counter("bootstrapped-from-peer").Count(), int64(1))
			keepsFlow(second.DataAddress)

			revision := report("i-2", 2000, 2)
			if former != "i-2" {
				s.store.Delete(wire.HostKey(former)) // It reports no more.
				revision++
			}
			for d, set := range map[*dsrDaemon]*dsrsettings.Settings{d1: first, d2: second} {
				applied(d, revision)
				keepsFlow(set.DataAddress)
				var tokens []uint32
				d.mu.Lock()
				for _, l := range d.engine.Registry.Hosts("standdesk") {
					tokens = append(tokens, l.Token)
				}
				d.mu.Unlock()
				is.Equal(tokens, []uint32{syn.Token})
			}
		})
	}
}

// Guards against resetting the open flows of a live server whose entry was removed, because its own reports are late: a
// daemon that starts then knows only the late report of a former server, and learns of the live one from another daemon.
func TestDSRKeepsFlowsOfServerWithoutEntryAfterLateReport(t *testing.T) {
	for _, former := range []string{"i-1", "i-2"} {
		t.Run(former, func(t *testing.T) {
			is := is.New(t)
			s := newDSRSite(t)
			server := s.listenUDP("127.0.0.1:0")
			report := func(name string, started int64) uint64 {
				return s.store.Put(wire.HostKey(name), wire.HostEntry(&registry.Host{
					Service: "standdesk", Address: server.LocalAddr().(*net.UDPAddr).AddrPort(), AvailabilityZone: "wa-perth",
					Slots: 2, Started: started, Sequence: 1,
				}))
			}
			report("i-2", 2000)
			first := s.settings("entry-1")
			d1, _ := s.start(first)
			s.waitFor("ready", isReady(first))
			s.store.Delete(wire.HostKey("i-2"))
			late := report(former, 1000)
			s.waitFor("the late report", func() bool { return d1.replica.Position().Revision == late })
			second := s.settings("entry-2", first.PeerAddress)
			// Contacts get the port of the own peer address, so the daemons need different IP addresses.
			second.PeerAddress = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.PeerAddress.Port())
			_, logs := s.start(second)
			s.waitFor("ready", isReady(second))
			token := registry.NewToken("i-2", 2000)
			for _, set := range []*dsrsettings.Settings{first, second} {
				s.send(set.DataAddress, 4000, conntrack.Packet{ACK: true, Token: token, Sequence: 1})
				is.True(s.receive(s.caller, time.Second) == nil) // The flow must not be reset.
				p, number := s.packet(s.receive(server, dsrTimeout))
				is.Equal(p.Token, token)
				is.Equal(number, uint64(2))
			}
			is.Equal(logs.FilterMessage("former-server-learned").Len(), 1)
		})
	}
}

// Guards against a daemon that cannot start during an outage of the store, although another daemon is running.
func TestDSRStartsWithoutStore(t *testing.T) {
	s := newDSRSite(t, "i-1")
	first := s.settings("entry-1")
	s.start(first)
	s.waitFor("ready", isReady(first))
	s.store.SetFaults(standin.Faults{NoReply: true})
	second := s.settings("entry-2", first.PeerAddress)
	// Contacts get the port of the own peer address, so the daemons need different IP addresses.
	second.PeerAddress = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.PeerAddress.Port())
	s.start(second)
	s.waitFor("ready with the snapshot of the other daemon", isReady(second))
}

// Guards against a server that stays in the registry forever, because it left while this daemon could only fetch
// snapshots of another daemon.
func TestDSRRemovesServersMissingFromPeerSnapshot(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1", "i-2")
	set := s.settings("entry-1")
	d, _ := s.start(set)
	s.waitFor("ready", isReady(set))
	hosts := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.engine.Registry.Hosts("standdesk"))
	}
	s.waitFor("two servers", func() bool { return hosts() == 2 })
	d.mu.Lock()
	changes := slices.DeleteFunc(d.engine.Registry.Changes(d.timer.Now()), func(c registry.Change) bool { return c.Name == "i-2" })
	d.mu.Unlock()
	later := d.replica.Position()
	later.Revision += 5
	d.adopt(changes, later, false)
	is.Equal(hosts(), 2)
	d.adopt(changes, later, true)
	s.waitFor("one server", func() bool { return hosts() == 1 })
}

// Guards against invalid settings that replace valid ones, and against a reload signal that ends the process.
func TestDSRReloadRefusesInvalidSettings(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	d, logs := s.start(s.settings("entry-1"))
	file := filepath.Join(t.TempDir(), "settings.json")
	must(t, os.WriteFile(file, []byte(`{"forwarding":"token"}`), 0o600))
	signals := make(chan os.Signal, 1)
	defer d.watchSettings(signals, file)()
	signals <- os.Interrupt
	s.waitFor("refusal of the settings", func() bool { return logs.FilterMessage("reload-refused").Len() == 1 })
	is.Equal(d.stopTimeout, 6*time.Second)
}

// Guards against a stop that interrupts callers. The daemon must report that it is not ready immediately, and forward
// until no packets arrive.
func TestDSRForwardsDuringDrain(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	set := s.settings("entry-1")
	d, _ := s.start(set)
	s.waitFor("ready", isReady(set))
	signals, done := make(chan os.Signal, 1), make(chan error, 1)
	go func() { done <- d.drain(signals) }()
	s.waitFor("not ready", func() bool { return !isReady(set)() })
	s.send(set.DataAddress, 4000, conntrack.Packet{SYN: true})
	is.True(s.receive(s.hosts["i-1"], dsrTimeout) != nil)
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(dsrTimeout):
		t.Fatal("drain did not end before the timeout")
	}
}

// Guards against calls to the store without a delay when the settle time is short, and against a watch timeout that
// hides a lost reply for longer than a bound.
func TestDSRWatchTimeout(t *testing.T) {
	for _, test := range []struct{ settle, bound, want time.Duration }{
		{4 * time.Second, 3 * time.Second, 3 * time.Second},
		{500 * time.Millisecond, 3 * time.Second, 250 * time.Millisecond},
		{time.Minute, 2 * time.Second, 2 * time.Second},
	} {
		s := &dsrsettings.Settings{}
		s.SetDefaults()
		s.SettleTime, s.DrainBound = document.Duration(test.settle), document.Duration(test.bound)
		s.ConfigurationBound = document.Duration(time.Minute)
		if got := s.WatchTimeout(); got != test.want {
			t.Errorf("settle time %v, bound %v: watch timeout %v, want %v", test.settle, test.bound, got, test.want)
		}
	}
}

// Guards against a daemon that does not start because the port of its metrics is in use.
func TestDSRStartsWithoutMetrics(t *testing.T) {
	s := newDSRSite(t, "i-1")
	set := s.settings("entry-1")
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer func() { _ = taken.Close() }()
	set.MetricsAddress = taken.Addr().(*net.TCPAddr).AddrPort()
	_, logs := s.start(set)
	s.waitFor("ready", isReady(set))
	if logs.FilterMessage("metrics-not-served").Len() != 1 {
		t.Fatal("want 1 log line metrics-not-served")
	}
}

// Guards against a settings file that does not match its template and is accepted, or refused without naming the
// setting.
func TestDSRSettingsErrorsNameTheSetting(t *testing.T) {
	is := is.New(t)
	_, err := dsrsettings.Decode("node.json", []byte(`{"forwarding":"token","name":"e"}`))
	is.Equal(err.Error(), `node.json: region: must be a name of 1 to 63 letters, digits, '.', '_' or '-', got ""`)
	_, err = dsrsettings.Decode("node.json", []byte(`{"forwarding":"token","placement":5}`))
	is.True(err != nil)
}
