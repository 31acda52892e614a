package capacity

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
)

// Guards against a wrong estimate at both ends of the load and between: idle hosts, saturated hosts, one to many slots.
func TestEstimateMatchesQueue(t *testing.T) {
	for _, slots := range []int{1, 2, 3, 8, 64} {
		for _, rho := range []float64{0.01, 0.3, 0.85, 0.99} {
			c := float64(slots)
			outstanding := c * rho / (1 - math.Pow(rho, c))
			if got := Estimate(outstanding, 100*rho, slots); math.Abs(got-100) > 0.1 {
				t.Errorf("%d slots at utilisation %.2f: capacity %.2f, want 100", slots, rho, got)
			}
		}
	}
	if got := Estimate(0.8, 10, 2); math.Abs(got-0.8*10/(math.Sqrt(1+0.8*0.8)-1)) > 1e-9 {
		t.Errorf("two slots: capacity %v, want that of the closed form L·X/(sqrt(1+L²)-1)", got)
	}
}

// busyModel returns a model with three open flows on each host, of whose three requests two have completed.
func busyModel(hosts int) *Model {
	b := newBench(policyLearned, 1, hosts, nil)
	m := b.vms[0]
	for i := range hosts {
		id := uint32(i + 1)
		for range 3 {
			m.Observe(0, flowevent.Event{Kind: flowevent.Opened, Service: 1, Host: id})
			m.Observe(0, flowevent.Event{Kind: flowevent.Requested, Service: 1, Host: id})
		}
		for range 2 {
			m.Observe(40*time.Millisecond,
				flowevent.Event{Kind: flowevent.Answered, Service: 1, Host: id, Elapsed: 40 * time.Millisecond})
		}
	}
	return m
}

// Guards against sums that are lost or changed by encoding and decoding.
func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		u := rapid.Uint32()
		r := Report{Incarnation: rapid.Uint64().Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence")}
		r.Hosts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Sums {
			return Sums{
				Host: u.Draw(t, "host"), Completions: u.Draw(t, "completions"), Failures: u.Draw(t, "failures"),
				Busy: u.Draw(t, "busy"), Open: u.Draw(t, "open"), Borrowed: u.Draw(t, "borrowed"), Offered: u.Draw(t, "offered"),
			}
		}), 0, 20).Draw(t, "hosts")
		b, err := r.Encode()
		is.NoErr(err)
		got, err := Decode(b)
		is.NoErr(err)
		if len(r.Hosts) == 0 {
			got.Hosts, r.Hosts = nil, nil
		}
		is.Equal(got, r)
	})
}

// Guards against a crash or a large allocation from a damaged report.
func FuzzDecode(f *testing.F) {
	b, err := busyModel(3).Report(time.Second).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa3, 1, 1, 2, 1, 4, 0x81, 1}) // a column that is longer than the list of hosts
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Decode(b); err == nil && len(r.Hosts) > len(b) {
			t.Fatalf("%d hosts from %d bytes, want at most one for each byte", len(r.Hosts), len(b))
		}
	})
}

// Guards against reports that count twice, out of order, after a restart of the member, or after they have expired.
func TestMergeIgnoresOldReports(t *testing.T) {
	is := is.New(t)
	from := busyModel(2)
	to := newBench(policyLearned, 1, 2, nil).vms[1]
	load := func() float64 { return to.hosts[1].others.outstanding }
	first, second := from.Report(time.Second), from.Report(2*time.Second)
	to.Merge(2*time.Second, "vm-0", second)
	is.Equal(load(), 1.0) // one request outstanding for the whole second
	to.Merge(2*time.Second, "vm-0", first)
	to.Merge(2*time.Second, "vm-0", second)
	is.Equal(to.hosts[1].group.completions, 0) // the two completions are in the first report, which arrived late
	is.Equal(load(), 1.0)

	to.Tick(8 * time.Second)
	is.Equal(load(), 0.0) // expired
	to.Merge(8*time.Second, "vm-0", from.Report(8*time.Second))
	is.True(load() > 0)
	to.Forget("vm-0")
	is.Equal(load(), 0.0)
	to.Merge(8*time.Second, "vm-0", second)
	is.Equal(load(), 0.0) // sent before the member was forgotten

	to.Merge(9*time.Second, "vm-0", Report{Incarnation: 2, Sequence: 1, Hosts: second.Hosts})
	is.Equal(load(), 1.0)
	to.Merge(9*time.Second, "vm-0", Report{Incarnation: 1, Sequence: 99})
	is.Equal(load(), 1.0) // from the process that ran before the restart
}

// Guards against network time that counts as work, which would make hosts with short service times look equally fast.
func TestNetworkTimeIsNotCountedAsWork(t *testing.T) {
	is := is.New(t)
	m := newBench(policyLearned, 1, 1, nil).vms[0]
	now := time.Duration(0)
	for range 20 {
		m.Observe(now, flowevent.Event{Kind: flowevent.Accepted, Service: 1, Host: 1, Elapsed: 20 * time.Millisecond})
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Service: 1, Host: 1})
		now += 28 * time.Millisecond
		m.Observe(now, flowevent.Event{Kind: flowevent.Answered, Service: 1, Host: 1, Elapsed: 28 * time.Millisecond})
	}
	is.Equal(m.Report(now).Hosts, []Sums{{Host: m.hosts[1].reportHash(), Completions: 20, Busy: 40}}) // 20 × 8 ms
}

// Guards against a member that uses a greater share of the limit before the others have reduced theirs, and against
// state that takes more memory than a small VM has for its hosts: 2 KB for each host.
func TestShareGrowsAfterHoldTime(t *testing.T) {
	is := is.New(t)
	m := fleetModel(5, "vm-0")
	s := m.services[1].config
	allowance := func(now time.Duration) int {
		m.Tick(now)
		return m.hosts[1].allowance
	}
	is.Equal(allowance(time.Second), 250)
	m.Configure(2*time.Second, []Assignment{{Service: s, Owners: []Owner{{"vm-0", 1}, {"vm-1", 1}}}})
	is.Equal(allowance(10*time.Second), 250)
	m.Configure(11*time.Second, []Assignment{{Service: s, Owners: []Owner{{"vm-0", 1}, {"vm-1", 1}}}})
	is.Equal(allowance(22*time.Second), 1000) // the second call changed nothing
	m.Configure(23*time.Second, []Assignment{{Service: s, Owners: []Owner{{"vm-0", 1}, {"vm-1", 3}}}})
	is.Equal(allowance(24*time.Second), 500)
	size := unsafe.Sizeof(host{}) + 7*unsafe.Sizeof(peerState{})
	t.Logf("state of a host with 7 peers: %d bytes", size)
	is.True(size <= 2048)
}

// Guards against a host that receives the sums of another host with the same hash.
func TestCollidingHostsAreOmittedFromReports(t *testing.T) {
	is := is.New(t)
	m := busyModel(3)
	m.hosts[2].hash = m.hosts[1].hash
	m.index()
	r := m.Report(time.Second)
	is.Equal(len(r.Hosts), 1)
	m.Merge(time.Second, "vm-1", Report{Sequence: 1, Hosts: []Sums{{Host: m.hosts[1].reportHash(), Open: 5}}})
	is.Equal(m.hosts[1].others.open+m.hosts[2].others.open, 0)
	is.Equal(len(m.FilterReport(r, "vm-1").Hosts), 1)
	is.Equal(len(m.FilterReport(r, "not-an-owner").Hosts), 0)
}

// Guards against more open flows over the owner group than the connection limit of a host allows, with reports that are
// lost, late or out of order.
func TestConnectionLimitHoldsForOwnerGroup(t *testing.T) {
	most, borrowed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(policyLearned, 1, 1, func(h *fleet.Host) { h.Connections = 80 })
		open, total := make([]int, len(b.vms)), 0
		probability := rapid.IntRange(0, 3)
		// The reports of one VM are lost for some time while it receives those of the others.
		cutOff, from := rapid.IntRange(0, 7).Draw(t, "cut off"), rapid.IntRange(1, 60).Draw(t, "from")
		until := from + rapid.IntRange(0, 40).Draw(t, "time")
		for second := 1; second <= 100; second++ {
			now := time.Duration(second) * time.Second
			b.Advance(time.Second)
			for i, m := range b.vms {
				r := m.Report(now)
				for _, peer := range b.vms {
					late := time.Duration(0)
					if probability.Draw(t, "late") == 0 {
						late = time.Duration(rapid.IntRange(0, 4500).Draw(t, "delay")) * time.Millisecond
					}
					if probability.Draw(t, "lost") == 0 || i == cutOff && second >= from && second < until {
						continue
					}
					filtered := m.FilterReport(r, peer.Self)
					b.After(late, func() { peer.Merge(b.Now(), m.Self, filtered) })
				}
				m.Tick(now)
				change := rapid.IntRange(-20, 40).Draw(t, "change")
				for ; change > 0; change-- {
					key := packet.NewKey(packet.TCP, netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:2"))
					h, refusal := m.Pick(now, b.service, &key, 0)
					if h == nil {
						if refusal != ReasonConnectionLimit {
							t.Fatalf("refusal %q, want connection-limit", refusal)
						}
						break
					}
					m.Observe(now, flowevent.Event{Kind: flowevent.Opened, Service: 1, Host: 1})
					open[i]++
					total++
				}
				for ; change < 0 && open[i] > 0; change++ {
					m.Observe(now, flowevent.Event{Kind: flowevent.Closed, Service: 1, Host: 1})
					open[i]--
					total--
				}
				borrowed = max(borrowed, m.hosts[1].borrowed())
				if total > 80 {
					t.Fatalf("%d open flows at %v: %v, want at most 80", total, now, open)
				}
			}
			most = max(most, total)
		}
	})
	t.Logf("at most %d of 80 connections open at once, at most %d borrowed by one VM", most, borrowed)
	if borrowed == 0 {
		t.Error("no connections were borrowed, want at least 1")
	}
}

// Guards against unused connections that no other member can borrow, and against lenders that take connections back
// while they are in use. One VM with all the demand gets most of the limit. The others need their connections back
// afterwards, also when they have received no report of the VM since.
func TestLentConnectionsStayReserved(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		b := newBench(policyLearned, 1, 1, func(h *fleet.Host) { h.Connections = 800 })
		for second := 1; second <= 90; second++ {
			now := time.Duration(second) * time.Second
			total := 0
			for i, m := range b.vms {
				r := m.Report(now)
				for _, peer := range b.vms {
					if !cutOff || i > 0 || second < 8 {
						peer.Merge(now, m.Self, m.FilterReport(r, peer.Self))
					}
				}
				m.Tick(now)
				for h := m.hosts[1]; (i == 0 || second > 10) && h.open < h.allowance; {
					m.Observe(now, flowevent.Event{Kind: flowevent.Opened, Service: 1, Host: 1})
				}
				total += m.hosts[1].open
			}
			h := b.vms[0].hosts[1]
			if total > 800 {
				t.Fatalf("cutOff %v: %d connections open after %d s, want at most 800", cutOff, total, second)
			}
			if second == 10 && h.open < 700 {
				t.Errorf("cutOff %v: one VM has %d of 800 connections with an own share of %d, want at least 700",
					cutOff, h.open, h.share)
			}
		}
	}
}

// Guards against allocations for each new flow, and against a rank that omits or repeats a host or does not have
// leaving hosts last.
func TestPickDoesNotAllocate(t *testing.T) {
	b := newBench(policyLearned, 1, 32, func(h *fleet.Host) { h.Leaving = h.ID == 7 })
	m := b.vms[0]
	key := packet.NewKey(packet.TCP, netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:2"))
	if n := testing.AllocsPerRun(1000, func() {
		m.Pick(0, b.service, &key, 0)
		m.PickPublished(b.service, &key)
	}); n != 0 {
		t.Errorf("%v allocations for each flow, want 0", n)
	}
	rank := m.Rank(b.service, &key, nil)
	seen := map[uint32]bool{}
	for _, h := range rank {
		seen[h.ID] = true
	}
	if len(seen) != 32 || rank[31].ID != 7 {
		t.Errorf("rank has %d of 32 hosts and host %d last, want all and host 7", len(seen), rank[31].ID)
	}
	if h, _ := m.Pick(0, b.service, &key, rank[0].ID); h == rank[0] {
		t.Error("Pick selected the host to avoid although others can take the flow")
	}
}

// fleetModel returns a model with the given number of hosts in services of 5 and an owner group of 8.
func fleetModel(hosts int, self string) *Model {
	var assignments []Assignment
	owners := []Owner{{"vm-0", 1}, {"vm-1", 1}, {"vm-2", 1}, {"vm-3", 1}, {"vm-4", 1}, {"vm-5", 1}, {"vm-6", 1}, {"vm-7", 1}}
	for first := 1; first <= hosts; first += 5 {
		s := &fleet.Service{ID: uint32(first), Protocol: packet.TCP}
		for id := first; id < min(first+5, hosts+1); id++ {
			name := fmt.Sprintf("host-%d", id)
			s.Hosts = append(s.Hosts, &fleet.Host{ID: uint32(id), Name: name, Weight: 1, Slots: 2, Connections: 2000})
		}
		assignments = append(assignments, Assignment{Service: s, Owners: owners})
	}
	m := &Model{Self: self, Incarnation: 1764000000000}
	m.Configure(0, assignments)
	return m
}

func BenchmarkPick(b *testing.B) {
	for _, hosts := range []int{5, 14, 32} {
		b.Run(fmt.Sprintf("service=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			bench := newBench(policyLearned, 1, hosts, nil)
			for i := 0; b.Loop(); i++ {
				bench.vms[0].Pick(0, bench.service, &packet.Key{SourcePort: uint16(i)}, 0)
			}
		})
	}
}

func BenchmarkModel(b *testing.B) {
	for _, hosts := range []int{5, 18, 91, 570, 5700} {
		m, peer := fleetModel(hosts, "vm-0"), fleetModel(hosts, "vm-1")
		b.Run(fmt.Sprintf("Pick/hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			s := m.services[1].config
			for i := 0; b.Loop(); i++ {
				m.Pick(0, s, &packet.Key{SourcePort: uint16(i)}, 0)
			}
		})
		b.Run(fmt.Sprintf("Observe/hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.Observe(0,
					flowevent.Event{Kind: flowevent.Accepted, Service: 1, Host: uint32(i%hosts + 1), Elapsed: time.Millisecond})
			}
		})
		b.Run(fmt.Sprintf("ReportMergeTick/hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			now, size := time.Duration(0), 0
			for b.Loop() {
				for id := range uint32(hosts) {
					if now == 0 { // One flow stays open.
						m.Observe(0, flowevent.Event{Kind: flowevent.Opened, Service: id/5*5 + 1, Host: id + 1})
					}
					// 20 flows/s from one VM to one host. The design rate gives 1/s at the target size of the fleet and 170/s at
					// its present size.
					for k := range 20 {
						e := flowevent.Event{Kind: flowevent.Opened, Service: id/5*5 + 1, Host: id + 1, Elapsed: 40 * time.Millisecond}
						for _, e.Kind = range []flowevent.Kind{flowevent.Opened, flowevent.Requested} {
							m.Observe(now+time.Duration(k)*50*time.Millisecond, e)
						}
						for _, e.Kind = range []flowevent.Kind{flowevent.Answered, flowevent.Closed} {
							m.Observe(now+time.Duration(k)*50*time.Millisecond+40*time.Millisecond, e)
						}
					}
				}
				now += time.Second
				encoded, err := m.FilterReport(m.Report(now), "vm-1").Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
				r, err := Decode(encoded)
				if err != nil {
					b.Fatal(err)
				}
				peer.Merge(now, "vm-0", r)
				peer.Tick(now)
			}
			b.ReportMetric(float64(size), "bytes/report")
			b.ReportMetric(float64(size)/float64(hosts), "bytes/host")
		})
	}
}
