package loadreport

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/member"
)

const tickPeriod = 100 * time.Millisecond

func zoneOf(zone string, names ...string) (all []member.Member) {
	for _, name := range names {
		all = append(all, member.Member{Name: name, Zone: zone})
	}
	return all
}

func plausible(e Estimate) bool {
	for _, v := range []float64{e.Samples, e.Outstanding, e.Failures} {
		if math.IsNaN(v) || v < 0 || v > 1e6 {
			return false
		}
	}
	return e.ResponseTime >= 0 && e.ResponseTime <= maxResponse*responseUnit
}

// isSlow reports whether the response time is that of a slow server, except for the rounding of a mean.
func isSlow(e Estimate) bool { return (e.ResponseTime - 600*time.Millisecond).Abs() < time.Microsecond }

// response is a response that an entry VM will observe.
type response struct {
	vm, server int
	elapsed    time.Duration
}

// fleet is a number of entry VMs that send requests to servers, in virtual time.
type fleet struct {
	*testing.T
	vms       []*Exchange
	all       []member.Member
	byName    map[string]int
	now       time.Duration
	rand      *rand.Rand
	lost      func(from, to int) bool // whether a report is lost
	responses map[time.Duration][]response
	bytes     [][]sending // by sender, with all headers
	sent      int         // reports

	perSecond    float64 // requests that each entry VM sees
	servers      int
	responseTime func(server int) time.Duration
	overloaded   []bool            // entry VMs that saw a slow response
	marks        func(vm int) bool // whether an entry VM marks the servers that it uses
}

// newFleet returns n entry VMs, spread over the zones.
func newFleet(t *testing.T, n, zones int) *fleet {
	f := &fleet{
		T: t, byName: map[string]int{}, rand: rand.New(rand.NewPCG(1, 2)), bytes: make([][]sending, n),
		responses: map[time.Duration][]response{}, now: time.Hour, lost: func(int, int) bool { return false },
		overloaded: make([]bool, n),
	}
	f.marks = func(vm int) bool { return f.overloaded[vm] }
	for i := range n {
		name := fmt.Sprintf("i-%010x", i)
		f.byName[name] = i
		f.all = append(f.all, member.Member{Name: name, Zone: fmt.Sprint("zone-", i%zones)})
	}
	for i := range n {
		f.vms = append(f.vms, f.newExchange(i, uint64(time.Hour)))
	}
	return f
}

func (f *fleet) newExchange(i int, seed uint64) *Exchange {
	x := &Exchange{Self: f.all[i].Name, AvailabilityZone: f.all[i].Zone, Seed: seed, Counters: counter.New()}
	x.Send = func(to []member.Member, m *Message) {
		b, err := Encode(m)
		if err != nil || len(b) > maxMessageBytes {
			f.Fatalf("report of %d bytes, error %v", len(b), err)
		}
		for _, vm := range to {
			if vm.Zone != x.AvailabilityZone {
				f.Fatalf("report from %s to %s", x.AvailabilityZone, vm.Zone)
			}
			f.sent++
			f.bytes[i] = append(f.bytes[i], sending{f.now, len(b) + datagramBytes})
			if j := f.byName[vm.Name]; !f.lost(i, j) {
				received, err := Decode(b)
				if err != nil {
					f.Fatal(err)
				}
				f.vms[j].Handle(f.now, received)
			}
		}
	}
	x.SetMembers(f.all)
	return x
}

// tick advances the time by one tick in which all entry VMs see requests and responses.
func (f *fleet) tick() {
	f.now += tickPeriod
	for i, x := range f.vms {
		requests := f.perSecond * tickPeriod.Seconds()
		n := int(requests)
		if f.rand.Float64() < requests-float64(n) {
			n++
		}
		for range n {
			s := f.rand.IntN(f.servers)
			x.Observe(f.now, flowevent.Event{Kind: flowevent.Requested, Host: uint32(s + 1)})
			x.SetLoaded(f.now, uint32(s+1), f.marks(i))
			elapsed := f.responseTime(s)
			at := (f.now + elapsed).Truncate(tickPeriod) + tickPeriod
			f.responses[at] = append(f.responses[at], response{i, s, elapsed})
		}
	}
	for _, r := range f.responses[f.now] {
		x := f.vms[r.vm]
		x.Observe(f.now, flowevent.Event{Kind: flowevent.Answered, Host: uint32(r.server + 1), Elapsed: r.elapsed})
		if r.elapsed > 200*time.Millisecond {
			f.overloaded[r.vm] = true
		}
		x.SetLoaded(f.now, uint32(r.server+1), f.marks(r.vm))
	}
	delete(f.responses, f.now)
	for _, x := range f.vms {
		x.Tick(f.now)
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.tick()
	}
}

// mostBytes returns the most bytes that an entry VM sent within any second.
func (f *fleet) mostBytes() (most int) {
	for _, list := range f.bytes {
		sum, first := 0, 0
		for _, s := range list {
			for sum += s.bytes; s.at-list[first].at >= time.Second; first++ {
				sum -= list[first].bytes
			}
			most = max(most, sum)
		}
	}
	return most
}

// covered returns the least and the mean share of the first n servers of which the entry VMs have an estimate.
func (f *fleet) covered(n int) (least, mean float64) {
	least = 1
	for _, x := range f.vms {
		known := 0.0
		for s := range n {
			if e, ok := x.Estimate(f.now, uint32(s+1)); ok && e.Samples > 0 {
				known += 1 / float64(n)
			}
		}
		least, mean = min(least, known), mean+known/float64(len(f.vms))
	}
	return least, mean
}

// outstanding returns the means, over the first n servers, of the outstanding requests of the other entry VMs of the
// zone: as the first entry VM estimates them, and the actual ones.
func (f *fleet) outstanding(n int) (estimated, actual float64) {
	for s := range n {
		e, _ := f.vms[0].Estimate(f.now, uint32(s+1))
		estimated += e.Outstanding / float64(n)
		for _, m := range f.vms[0].members {
			if o := f.vms[f.byName[m.Name]].observations[uint32(s+1)]; o != nil {
				actual += float64(o.outstanding) / float64(n)
			}
		}
	}
	return estimated, actual
}

// halfSlow makes the first half of the servers slow.
func (f *fleet) halfSlow(servers int, perSecond float64) {
	f.servers, f.perSecond = servers, perSecond
	f.responseTime = func(s int) time.Duration {
		if s < servers/2 {
			return 600 * time.Millisecond
		}
		return 50 * time.Millisecond
	}
}

// Guards against messages on quiet days.
func TestNothingIsSentWithoutLoad(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 12, 1)
	f.halfSlow(10, 50)
	f.marks = func(int) bool { return false }
	f.run(5 * time.Second)
	is.Equal(f.sent, 0)
	_, ok := f.vms[0].Estimate(f.now, 1)
	is.True(!ok)
	f.vms[0].SetLoaded(f.now, 1, false)
	f.vms[0].SetLoaded(f.now, 99, false)
	f.vms[0].SetLoaded(f.now, 1, true)
	f.vms[0].Forget(1) // Its token is no longer in use.
	f.tick()
	is.Equal(len(f.vms[0].listed), 0)
	is.Equal(f.sent, 0)
}

// Guards against reports that go on after the load has ended, and against ones that stop at once, so that others learn
// too late that a server recovered.
func TestReportsEndAfterMarkIsRemoved(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 1)
	f.halfSlow(2, 20)
	f.run(3 * time.Second)
	f.marks = func(int) bool { return false }
	for _, x := range f.vms {
		x.SetLoaded(f.now, 1, false)
	}
	before := f.sent
	f.run(retention - tickPeriod)
	is.True(f.sent > before)
	f.run(2 * tickPeriod)
	before = f.sent
	f.run(2 * retention)
	is.Equal(f.sent, before)
	_, ok := f.vms[0].Estimate(f.now, 1)
	is.True(!ok)
	is.Equal(len(f.vms[0].servers), 0)
	is.Equal(len(f.vms[0].listed), 0)
	is.Equal(f.vms[0].reporters[f.vms[1].Self].entries, 0)
}

// Guards against a first report without what was observed before the server was marked, also while other servers are
// reported already.
func TestFirstReportIsComplete(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 1)
	x := f.vms[0]
	for _, token := range []uint32{1, 2} {
		x.Observe(f.now, flowevent.Event{Kind: flowevent.Requested, Host: token})
		x.Observe(f.now, flowevent.Event{Kind: flowevent.Answered, Host: token, Elapsed: time.Second})
		x.Observe(f.now, flowevent.Event{Kind: flowevent.Refused, Host: token})
	}
	for _, token := range []uint32{1, 2} {
		f.now += time.Second
		x.SetLoaded(f.now, token, true)
		x.Tick(f.now)
	}
	e, ok := f.vms[1].Estimate(f.now, 2)
	is.True(ok)
	is.Equal(e, Estimate{ResponseTime: time.Second, Samples: 0.25, Failures: 0.25}) // Two half-lives.
}

// Guards against exceeding the budget, and against members that never receive a report, at the target size: 500 entry
// VMs in 11 zones, with 106 requests per second each.
func TestBudgetAtTargetSize(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 500, 11)
	f.halfSlow(5700, 106)
	f.marks = func(int) bool { return true }
	f.run(3 * time.Second)
	is.True(f.mostBytes() <= bytesPerSecond)
	is.True(f.mostBytes() > bytesPerSecond*8/10) // The budget is used.
	for _, x := range f.vms {
		is.True(x.heard >= len(x.members)*9/10)
	}
	least, mean := f.covered(5700)
	estimated, actual := f.outstanding(5700 / 2)
	is.True(math.Abs(estimated-actual) < actual/2) // Although most servers do not fit into a report.
	t.Logf("outstanding requests of others at a slow server: estimated %.2f, actual %.2f", estimated, actual)
	t.Logf("%d bytes in any second, %d reports in 3 s, estimates of %.2f (least %.2f) of all servers, heard %d of %d",
		f.mostBytes(), f.sent, mean, least, f.vms[0].heard, len(f.vms[0].members))
}

// Guards against estimates that come too late to help entry VMs that see few requests: 124 entry VMs in 3 zones with 12
// requests per second each, and 150 servers of which half are slow.
func TestEstimatesOfSlowServersArriveSoon(t *testing.T) {
	for _, c := range []struct {
		name  string
		loss  float64
		bound time.Duration
	}{{"no loss", 0, 2500 * time.Millisecond}, {"half lost", 0.5, 4 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 124, 3)
			f.halfSlow(150, 12)
			f.lost = func(int, int) bool { return f.rand.Float64() < c.loss }
			started := f.now
			for least := 0.0; least < 0.9; least, _ = f.covered(75) {
				is.True(f.now-started < c.bound)
				f.tick()
			}
			t.Logf("each entry VM: 90%% after %s", f.now-started)
			f.run(5 * time.Second)
			least, mean := f.covered(75)
			t.Logf("after %s: %.3f of the slow servers (least %.3f), %d bytes in any second", f.now-started, mean, least,
				f.mostBytes())
			is.True(least > 0.8)
			is.True(f.mostBytes() <= bytesPerSecond)
			for s := range 75 {
				e, _ := f.vms[0].Estimate(f.now, uint32(s+1))
				is.True(e.Samples == 0 || isSlow(e))
			}
			estimated, actual := f.outstanding(75)
			t.Logf("outstanding requests of others at a slow server: estimated %.2f, actual %.2f", estimated, actual)
			is.True(math.Abs(estimated-actual) < actual/2)
		})
	}
}

// Guards against a zone that depends on a member that is cut off, restarts, or is too old to understand reports.
func TestMemberFails(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 1)
	f.halfSlow(4, 20)
	const cut, old = 1, 2
	isOld := true
	f.lost = func(from, to int) bool { return from == cut || to == cut || isOld && (from == old || to == old) }
	f.run(5 * time.Second)
	known := func(i int) float64 {
		e, ok := f.vms[i].Estimate(f.now, 1)
		if !ok {
			return 0
		}
		is.True(plausible(e))
		is.True(isSlow(e))
		return e.Outstanding
	}
	is.Equal(known(cut), 0.0)
	is.Equal(known(old), 0.0)
	// Each sees 5 requests per second to a server, so 3 are outstanding; the others of 6 have 15, although 3 report.
	is.True(known(0) > 8 && known(0) < 25)
	is.Equal(f.vms[0].heard, 3)

	isOld = false
	f.vms[old] = f.newExchange(old, uint64(time.Hour)+1) // Its sequence starts again.
	f.lost = func(int, int) bool { return false }
	f.run(2 * time.Second)
	is.True(known(cut) > 0)
	is.True(known(old) > 0)
	is.Equal(f.vms[0].heard, 5)

	before := f.vms[0].Counters.Values()["load-reports-refused-outdated"]
	f.vms[old] = f.newExchange(old, 1) // Its clock was set back.
	f.run(retention + time.Second)
	is.Equal(f.vms[0].heard, 5)
	is.True(f.vms[0].Counters.Values()["load-reports-refused-outdated"] > before)

	f.all[3].State = member.StateDead
	f.all[4].State = member.StateLeaving
	f.lost = func(_, to int) bool {
		is.True(to != 3 && to != 4)
		return false
	}
	for _, x := range f.vms {
		x.SetMembers(f.all)
	}
	f.run(time.Second)
	is.Equal(f.vms[0].heard, 3)
	is.True(f.vms[0].Counters.Values()["load-reports-refused-unknown-member"] > 0)
}

func newReceiver(others int) (*Exchange, []string) {
	x := &Exchange{Self: "self", AvailabilityZone: "z", Counters: counter.New()}
	names := []string{"self"}
	for i := range others {
		names = append(names, fmt.Sprint("entry-", i))
	}
	x.SetMembers(zoneOf("z", names...))
	return x, names[1:]
}

// Guards against duplicates, reordering and reports of a former process that replace newer observations, and against
// reports of strangers.
func TestOutdatedReportsAreRefused(t *testing.T) {
	is := is.New(t)
	x, _ := newReceiver(2)
	report := func(from string, session, sequence uint64, outstanding uint8) {
		x.Handle(time.Second, &Message{
			From: from, Session: session, Sequence: sequence, Servers: []Server{{Token: 7, Outstanding: outstanding}},
		})
	}
	report("entry-0", 5, 3, 3)
	report("entry-0", 5, 3, 200)
	report("entry-0", 5, 2, 200)
	report("entry-0", 4, 9, 200)
	report("self", 5, 9, 200)
	report("stranger", 5, 9, 200)
	e, _ := x.Estimate(time.Second, 7)
	is.Equal(e.Outstanding, 6.0) // Of two others.
	report("entry-0", 6, 1, 1)
	e, _ = x.Estimate(time.Second, 7)
	is.Equal(e.Outstanding, 2.0)
	values := x.Counters.Values()
	is.Equal(values["load-reports-refused"], int64(5))
	for _, reason := range []string{reasonDuplicate, reasonOwn, reasonUnknown} {
		is.Equal(values["load-reports-refused-"+reason], int64(1))
	}
	is.Equal(values["load-reports-refused-"+reasonOutdated], int64(2))
	is.Equal(values["load-reports-received"], int64(2))
	x.Forget(7)
	_, ok := x.Estimate(time.Second, 7)
	is.True(!ok)
}

// Guards against entries that keep their weight or are kept for too long.
func TestEntriesAge(t *testing.T) {
	is := is.New(t)
	x, names := newReceiver(1)
	x.Handle(0, &Message{From: names[0], Sequence: 1, Servers: []Server{
		{Token: 7, ResponseTime: 100, Samples: 32, Failures: 16, Age: 10},
	}})
	for age, samples := range map[time.Duration]float64{
		0: 2, time.Second: 1, 1900 * time.Millisecond: 0.536, 2 * time.Second: 0,
	} {
		e, ok := x.Estimate(age, 7)
		is.True(ok)
		is.True(math.Abs(e.Samples-samples) < 0.001)
		is.True(math.Abs(e.Failures-samples/2) < 0.001)
	}
	_, ok := x.Estimate(retention, 7)
	is.True(!ok)
}

// Guards against one reporter that determines the estimates of all: its values are wrong by ten times, or nonsense.
func TestOneWrongReporterChangesLittle(t *testing.T) {
	is := is.New(t)
	for _, wrong := range []Server{
		{ResponseTime: 4000, Samples: 80, Outstanding: 20, Failures: 80},
		{ResponseTime: 40, Samples: 80, Outstanding: 0, Failures: 0},
		{ResponseTime: maxResponse, Samples: 255, Outstanding: 255, Failures: 255},
	} {
		for _, n := range []int{3, 6} {
			x, names := newReceiver(n)
			for i, name := range names {
				s := Server{ResponseTime: 400, Samples: 8, Outstanding: 2, Failures: 8}
				if i == 0 {
					s = wrong
				}
				s.Token = 7
				x.Handle(0, &Message{From: name, Sequence: 1, Servers: []Server{s}})
			}
			e, ok := x.Estimate(0, 7)
			is.True(ok)
			is.True(e.ResponseTime > 250*time.Millisecond && e.ResponseTime < 600*time.Millisecond)
			others := float64(n - 1)
			is.True(e.Outstanding >= 2*others && e.Outstanding <= 4*others)
			is.True(e.Failures >= others && e.Failures <= others+max(maxLone, others))
			is.True(e.Samples <= 2*others)
		}
	}
}

// Guards against a reporter that fills the memory.
func TestEntriesOfReporterAreBounded(t *testing.T) {
	is := is.New(t)
	x, names := newReceiver(2)
	for i := range uint32(5000) {
		x.Handle(0, &Message{From: names[0], Sequence: uint64(i + 1), Servers: []Server{{Token: i + 1}}})
	}
	is.Equal(len(x.servers), maxEntries)
	x.Handle(0, &Message{From: names[1], Sequence: 1, Servers: []Server{{Token: 4999, Outstanding: 1}}})
	_, ok := x.Estimate(0, 4999)
	is.True(ok)
	x.Tick(retention)
	is.Equal(len(x.servers), 0)
}

// Guards against estimates that are no numbers, and against exceeding the budget, while the clock stands still or
// differs by milliseconds between calls.
func TestClockStandsStill(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5, 1)
	f.halfSlow(4, 50)
	f.run(2 * time.Second)
	before := f.sent
	for range 200 {
		for i, x := range f.vms {
			x.Observe(f.now, flowevent.Event{Kind: flowevent.Requested, Host: 1})
			x.Observe(f.now, flowevent.Event{Kind: flowevent.Answered, Host: 1, Elapsed: 600 * time.Millisecond})
			x.Tick(f.now - time.Duration(i)*time.Millisecond)
		}
	}
	is.True(f.sent-before <= len(f.vms)*len(f.vms))
	e, ok := f.vms[0].Estimate(f.now, 1)
	is.True(ok)
	is.True(plausible(e))
	f.run(2 * time.Second)
	e, ok = f.vms[0].Estimate(f.now, 1)
	is.True(ok)
	is.True(plausible(e))
	is.True(isSlow(e))
}

// Guards against reports that omit the servers of which most is known, when not all fit.
func TestMostInformativeServersAreReported(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 45, 1)
	x := f.vms[0]
	for token := range uint32(500) {
		n := 1
		if token%50 == 0 {
			n = 3
		}
		for range n {
			x.Observe(f.now, flowevent.Event{Kind: flowevent.Answered, Host: token + 1, Elapsed: time.Second})
		}
		x.SetLoaded(f.now, token+1, true)
	}
	x.Tick(f.now)
	reached := slices.IndexFunc(f.vms, func(x *Exchange) bool { return len(x.servers) > 0 })
	for token := uint32(1); token <= 500; token += 50 {
		_, ok := f.vms[reached].Estimate(f.now, token)
		is.True(ok)
	}
}

// Guards against allocations for each packet.
func TestObserveDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	x, _ := newReceiver(2)
	now := time.Duration(0)
	is.Equal(testing.AllocsPerRun(1000, func() { observeRequest(x, &now) }), 0.0)
}

func observeRequest(x *Exchange, now *time.Duration) {
	*now += time.Millisecond
	host := uint32(*now/time.Millisecond)%4 + 1
	x.Observe(*now, flowevent.Event{Kind: flowevent.Requested, Host: host})
	x.Observe(*now, flowevent.Event{Kind: flowevent.Answered, Host: host, Elapsed: time.Millisecond})
}

func BenchmarkObserve(b *testing.B) {
	x, _ := newReceiver(2)
	now := time.Duration(0)
	b.ReportAllocs()
	for range b.N {
		observeRequest(x, &now)
	}
}

// BenchmarkEstimate measures an estimate from 40 reporters, of which each tenth is computed again.
func BenchmarkEstimate(b *testing.B) {
	x, names := newReceiver(40)
	for i, name := range names {
		x.Handle(0, &Message{From: name, Sequence: 1, Servers: []Server{{Token: 7, ResponseTime: uint16(i + 1), Samples: 8}}})
	}
	b.ReportAllocs()
	for i := range b.N {
		x.Estimate(time.Duration(i%100)*cacheTime/10, 7)
	}
}

// BenchmarkReceive measures the decoding and application of a report of 25 servers.
func BenchmarkReceive(b *testing.B) {
	x, names := newReceiver(40)
	m := &Message{From: names[0], Session: 1 << 60}
	for i := range uint32(25) {
		m.Servers = append(m.Servers, Server{Token: 1<<30 + i, ResponseTime: 600, Samples: 8, Outstanding: 1})
	}
	b.ReportAllocs()
	for i := range b.N {
		m.Sequence = uint64(i + 1)
		data, _ := Encode(m)
		received, err := Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		x.Handle(0, received)
	}
}

// BenchmarkTick measures the ticks of an entry VM at the target size: 5,700 marked servers, 300 of them with recent
// observations, and 44 other members.
func BenchmarkTick(b *testing.B) {
	x, _ := newReceiver(44)
	x.Send = func(_ []member.Member, m *Message) {
		if _, err := Encode(m); err != nil {
			b.Fatal(err)
		}
	}
	for token := range uint32(5700) {
		x.SetLoaded(0, token+1, true)
	}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * tickPeriod
		for j := range uint32(10) {
			x.Observe(now, flowevent.Event{
				Kind: flowevent.Answered, Host: (uint32(i)*10+j)%5700 + 1, Elapsed: time.Second,
			})
		}
		x.Tick(now)
	}
}
