package main

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/registry"
	standin "github.com/masticspar/masticspar/platform/standin/store"
	"github.com/masticspar/masticspar/platform/standin/wire"
)

// oddEntry is an entry below servers/ that no server writes.
type oddEntry struct {
	name  string // of the server; empty for a plausible one
	value []byte
}

// withField returns an entry of a server of an own address in which one field is replaced.
func (s *dsrSite) withField(field string, value any) oddEntry {
	s.Helper()
	s.reports++
	var fields map[string]any
	must(s, cbor.Unmarshal(wire.HostEntry(&registry.Host{
		Service: "standdesk", Address: netip.AddrPortFrom(netip.MustParseAddr("127.9.9.9"), uint16(s.reports)),
		AvailabilityZone: "wa-perth", Slots: 2, Started: 1, Sequence: 1,
	}), &fields))
	fields[field] = value
	b, err := cbor.Marshal(fields)
	must(s, err)
	return oddEntry{value: b}
}

func (s *dsrSite) named(name string) oddEntry {
	e := s.withField("version", "v1")
	e.name = name
	return e
}

// Guards against an entry of another writer that ends an entry VM, keeps one from following the store, or is accepted by
// a reader while the other entry VMs of the zone refuse its announcement.
func TestDSRFollowsStoreBesideOddEntries(t *testing.T) {
	s := newDSRSite(t, "i-1")
	all, follower := s.startZone(3)
	nested := append(bytes.Repeat([]byte{0x81}, 60_000), 0)
	long, longer := strings.Repeat("a", 60), strings.Repeat("a", 100_000)
	hosts, usable := 1, 10 // usable: entries with a long version or with names of 62 bytes
	for _, test := range []struct {
		name    string
		entries []oddEntry
	}{
		{"bytes", []oddEntry{
			{value: nil},
			{value: nested},
			{value: append([]byte{0xa1, 0x61, 'x'}, nested...)},
			{value: []byte{0x9f}},
			{value: []byte{0xbf, 0x61, 'x', 0x9f, 0x9f}},
			{value: []byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
			{value: []byte{0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
			{value: []byte{0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
			{value: []byte{0xa2, 0x61, 'x', 1, 0x61, 'x', 2}},
			{value: []byte{0xa1, 0x81, 1, 1}},
			{value: []byte(`{"service":"standdesk"}`)},
		}},
		{"types", []oddEntry{
			s.withField("slots", uint64(math.MaxUint64)),
			s.withField("slots", math.NaN()),
			s.withField("slots", 1e300),
			s.withField("slots", cbor.RawMessage{0xc2, 0x49, 1, 0, 0, 0, 0, 0, 0, 0, 0}),
			s.withField("born", "1"),
			s.withField("sequence", math.Inf(1)),
			s.withField("zone", cbor.RawMessage{0x62, 0xff, 0xfe}),
			s.withField("service", cbor.RawMessage{0xc0, 0x61, 'x'}),
			s.withField("other", cbor.RawMessage(nested)),
			s.withField("state", nil),
		}},
		{"addresses", []oddEntry{
			s.withField("address", "10.0.0.1:65536"),
			s.withField("address", "10.0.0.1:99999999999999999999"),
			s.withField("address", "10.0.0.1:0"),
			s.withField("address", "10.0.0.1:-1"),
			s.withField("address", "[::1]:80"),
			s.withField("address", "[fe80::1%eth0]:80"),
			s.withField("address", "[::ffff:10.0.0.1]:80"),
			s.withField("address", "255.255.255.255:80"),
			s.withField("address", "0.0.0.0:80"),
			s.withField("address", longer),
		}},
		{"numbers", []oddEntry{
			s.withField("slots", math.MaxInt64),
			s.withField("slots", math.MinInt64),
			s.withField("cold_remaining_ms", math.MaxInt64),
			s.withField("cold_remaining_ms", math.MinInt64),
			s.withField("sequence", math.MaxInt64),
			s.withField("sequence", math.MinInt64),
			s.withField("born", math.MaxInt64),
			s.withField("born", math.MinInt64),
		}},
		{"start at the address of a live server", []oddEntry{{value: wire.HostEntry(&registry.Host{
			Service: "standdesk", Address: s.hosts["i-1"].LocalAddr().(*net.UDPAddr).AddrPort(), AvailabilityZone: "wa-perth",
			Slots: 2, Started: math.MaxInt64,
		})}}},
		{"number of the name", []oddEntry{
			s.named("i-11111111111111111"), s.named("i-0x1"), s.named("i-"), s.named("-"), s.named("i-+1"),
		}},
		{"slashes", []oddEntry{s.named("a/b-1"), s.named("/"), s.named("/1"), s.named("../1")}},
		{"empty name", []oddEntry{s.named("")}},
		{"long zone", []oddEntry{s.withField("zone", longer)}},
		{"long service", []oddEntry{s.withField("service", longer)}},
		{"long version", []oddEntry{s.withField("version", longer)}},
		{"many names of 62 bytes", []oddEntry{
			s.named(long + "-1"), s.named(long + "-2"), s.named(long + "-3"), s.named(long + "-4"), s.named(long + "-5"),
			s.named(long + "-6"), s.named(long + "-7"), s.named(long + "-8"), s.named(long + "-9"),
		}},
		{"many names of 190 bytes", []oddEntry{
			s.named(strings.Repeat("b", 188) + "-1"), s.named(strings.Repeat("b", 188) + "-2"),
			s.named(strings.Repeat("b", 188) + "-3"), s.named(strings.Repeat("b", 188) + "-4"),
			s.named(strings.Repeat("b", 188) + "-5"), s.named(strings.Repeat("b", 188) + "-6"),
			s.named(strings.Repeat("b", 188) + "-7"), s.named(strings.Repeat("b", 188) + "-8"),
			s.named(strings.Repeat("b", 188) + "-9"),
		}},
		{"name that is not UTF-8", []oddEntry{s.named("\xff\xfe-1")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			calls := storeCalls(follower)
			refused := count(all, "messages-refused")
			for i, e := range test.entries {
				key := wire.HostKey(e.name)
				if e.name == "" && test.name != "empty name" {
					key = wire.HostKey(fmt.Sprintf("i-f%d", i))
				}
				s.store.Put(key, e.value)
			}
			hosts++
			name := fmt.Sprintf("i-%d", hosts)
			s.hosts[name] = s.listenUDP("127.0.0.1:0")
			s.putHost(name, false)
			for _, d := range all {
				for end := time.Now().Add(dsrTimeout); len(d.missing(hosts)) > 0; time.Sleep(10 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("%s does not use %v, which are listed beside odd entries", d.settings.Name, d.missing(hosts))
					}
				}
			}
			if got := storeCalls(follower) - calls; got != 0 {
				t.Errorf("the follower called the store %d times, want 0", got)
			}
			if got := count(all, "messages-refused") - refused; got != 0 {
				t.Errorf("%d messages of other entry VMs were refused, want 0", got)
			}
		})
	}
	for _, reader := range []bool{true, false} { // A full read of all odd entries, and a snapshot.
		set := s.settings(fmt.Sprintf("entry-new-%t", reader))
		if !reader {
			s.store.SetFaults(standin.Faults{NoReply: true})
			set.Contacts = []netip.AddrPort{all[0].settings.PeerAddress}
			set.PeerAddress = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.9"), set.Contacts[0].Port())
		}
		d, _ := s.start(set)
		all = append(all, d)
		s.waitFor("ready", isReady(set))
		if missing := d.missing(hosts); len(missing) > 0 {
			t.Errorf("%s does not use %v", set.Name, missing)
		}
		d.mu.Lock()
		if got := len(d.engine.Registry.Hosts("standdesk")); got != hosts+usable {
			t.Errorf("%s uses %d servers, want %d", set.Name, got, hosts+usable)
		}
		d.mu.Unlock()
	}
	for _, reason := range []string{"panics-contained", "store-retry-unreachable", "messages-not-encoded"} {
		if got := count(all, reason); got != 0 {
			t.Errorf("counter %s is %d, want 0", reason, got)
		}
	}
}

// Guards against a configuration that ends an entry VM or keeps it from following the store.
func TestDSRContinuesAfterOddConfiguration(t *testing.T) {
	s := newDSRSite(t, "i-1")
	set := s.settings("entry-1")
	d, _ := s.start(set)
	s.waitFor("ready", isReady(set))
	route := func(change func(fields map[string]any)) map[string]any {
		fields := map[string]any{
			"name": "job-board", "host": dsrRoute.Addr().String(), "prefix": "/443/", "kind": "idempotent", "service": "standdesk",
			"timeout_ms": 1000, "target_latency_ms": 150,
		}
		change(fields)
		return fields
	}
	split := func(weights ...float64) func(map[string]any) {
		return func(fields map[string]any) {
			var list []any
			for _, w := range weights {
				list = append(list, map[string]any{"service": "standdesk", "weight": w})
			}
			fields["traffic_split"] = list
		}
	}
	version := uint64(1)
	for _, routes := range []any{
		nil, "routes",
		[]any{},
		[]any{5},
		[]any{nil},
		[]any{route(func(fields map[string]any) {
			fields["timeout_ms"], fields["target_latency_ms"] = math.MaxInt64, math.MaxInt64
		})},
		[]any{route(func(fields map[string]any) {
			fields["timeout_ms"], fields["target_latency_ms"] = math.MinInt64, math.MinInt64
		})},
		[]any{route(func(fields map[string]any) { fields["host"] = "fe80::1%eth0" })},
		[]any{route(func(fields map[string]any) { fields["prefix"] = "/65536/" })},
		[]any{route(func(fields map[string]any) { fields["service"] = "" })},
		[]any{route(func(fields map[string]any) { fields["service"] = strings.Repeat("s", 100_000) })},
		[]any{route(split(math.NaN(), math.Inf(1), math.Inf(-1), -1))},
		[]any{route(split(math.MaxFloat64, math.MaxFloat64))},
		[]any{route(split(math.SmallestNonzeroFloat64, math.NaN()))},
		cbor.RawMessage(append(bytes.Repeat([]byte{0x81}, 60_000), 0)),
	} {
		version++
		b, err := cbor.Marshal(map[string]any{"version": version, "routes": routes})
		must(t, err)
		at := s.store.Put(wire.ConfigurationKey, b)
		s.waitFor("the odd configuration", func() bool { return d.replica.Position().Revision >= at })
		for port := range uint16(8) {
			s.send(set.DataAddress, 4000+port, conntrack.Packet{SYN: true})
		}
	}
	s.putConfiguration(version+1, registry.Route{
		Name: "job-board", Address: dsrRoute, Targets: []registry.Target{{Service: "standdesk", Weight: 1}},
	})
	s.waitFor("the next configuration", func() bool { return d.configuration().Version == version+1 })
	s.waitFor("a SYN at the server", func() bool {
		s.send(set.DataAddress, 5000, conntrack.Packet{SYN: true})
		b := s.receive(s.hosts["i-1"], 50*time.Millisecond)
		if b == nil {
			return false
		}
		p, _ := s.packet(b)
		return p.SYN && p.Caller.Port() == 5000
	})
	if got := count([]*dsrDaemon{d}, "panics-contained"); got != 0 {
		t.Errorf("%d panics were contained, want 0", got)
	}
	all, odd := count([]*dsrDaemon{d}, "entries-refused"), count([]*dsrDaemon{d}, "entries-refused-configuration")
	if odd == 0 || odd != all {
		t.Errorf("%d of %d refusals were counted as of a configuration, want all", odd, all)
	}
}

// missing returns the servers i-1 to i-n that receive no new flows.
func (d *dsrDaemon) missing(n int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, l := range d.engine.Registry.Hosts("standdesk") {
		listed[l.Name] = true
	}
	var names []string
	for i := 1; i <= n; i++ {
		if name := fmt.Sprintf("i-%d", i); !listed[name] {
			names = append(names, name)
		}
	}
	return names
}

func storeCalls(d *dsrDaemon) int64 {
	return count([]*dsrDaemon{d}, "store-reads") + count([]*dsrDaemon{d}, "store-watches")
}

// count returns the sum of a counter over all daemons.
func count(all []*dsrDaemon, name string) int64 {
	var n int64
	for _, d := range all {
		n += d.counters.Counter(name).Count()
	}
	return n
}
