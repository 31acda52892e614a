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

// newReceiver returns an entry VM with the given number of others in its zone, and their names.
func newReceiver(others int) (*Exchange, []string) {
	x := &Exchange{Self: "self", Counters: counter.New()}
	all := []member.Member{{Name: x.Self}}
	names := make([]string, others)
	for i := range names {
		names[i] = fmt.Sprint("entry-", i)
		all = append(all, member.Member{Name: names[i]})
	}
	x.SetMembers(all)
	return x, names
}

func plausible(e Estimate) bool {
	inRange := func(v float64) bool { return v >= 0 && v <= 1e6 } // Not so for NaN.
	return inRange(e.Samples) && inRange(e.Outstanding) && inRange(e.Failures) &&
		e.ResponseTime >= 0 && e.ResponseTime <= maxResponse*responseUnit
}

// isSlow reports whether the response time is that of a slow server, except for the rounding of a mean.
func isSlow(e Estimate) bool { return (e.ResponseTime - 600*time.Millisecond).Abs() < time.Microsecond }

// fleet is a number of entry VMs that send requests to servers, in virtual time.
type fleet struct {
	*testing.T
	vms       []*Exchange
	all       []member.Member
	now       time.Duration
	rand      *rand.Rand
	lost      func(from, to int) bool // whether a report is lost
	responses map[time.Duration][]func()
	bytes     [][]sending // of the last second, by sender, with all headers
	most      int         // most bytes that an entry VM sent within any second
	sent      int         // reports

	perSecond  float64           // requests that each entry VM sees
	servers    int               // the first half of them is slow
	overloaded []bool            // entry VMs that saw a slow response
	marks      func(vm int) bool // whether an entry VM marks the servers that it uses
}

// newFleet returns n entry VMs, spread over the zones.
func newFleet(t *testing.T, n, zones, servers int, perSecond float64) *fleet {
	f := &fleet{
		T: t, rand: rand.New(rand.NewPCG(1, 2)), bytes: make([][]sending, n),
		responses: map[time.Duration][]func(){}, now: time.Hour, lost: func(int, int) bool { return false },
		overloaded: make([]bool, n), servers: servers, perSecond: perSecond,
	}
	f.marks = func(vm int) bool { return f.overloaded[vm] }
	for i := range n {
		f.all = append(f.all, member.Member{
			Name: fmt.Sprintf("i-%010x", i), Zone: fmt.Sprint("zone-", i%zones), Incarnation: uint64(i), // Index in vms.
		})
	}
	for i := range n {
		f.vms = append(f.vms, f.newExchange(i, uint64(time.Hour)))
	}
	return f
}

func (f *fleet) newExchange(i int, seed uint64) *Exchange {
	x := &Exchange{Self: f.all[i].Name, AvailabilityZone: f.all[i].Zone, Seed: seed, Counters: counter.New()}
	is := is.New(f.T)
	x.Send = func(to []member.Member, m *Message) {
		b, err := Encode(m)
		is.NoErr(err)
		is.True(len(b) <= maxMessageBytes)
		for _, vm := range to {
			is.Equal(vm.Zone, x.AvailabilityZone)
			f.countBytes(i, len(b)+1+40+8) // Kind, IPv6 and UDP.
			if j := int(vm.Incarnation); !f.lost(i, j) {
				received, err := Decode(b)
				is.NoErr(err)
				f.vms[j].Handle(f.now, received)
			}
		}
	}
	x.SetMembers(f.all)
	return x
}

func (f *fleet) countBytes(sender, n int) {
	f.sent++
	f.bytes[sender] = slices.DeleteFunc(f.bytes[sender], func(s sending) bool { return f.now-s.at >= time.Second })
	f.bytes[sender] = append(f.bytes[sender], sending{f.now, n})
	sum := 0
	for _, s := range f.bytes[sender] {
		sum += s.bytes
	}
	f.most = max(f.most, sum)
}

// tick advances the time by one tick in which all entry VMs see requests and responses.
func (f *fleet) tick() {
	f.now += tickPeriod
	for i := range f.vms {
		for range int(f.perSecond*tickPeriod.Seconds() + f.rand.Float64()) {
			s, elapsed := f.rand.IntN(f.servers), 50*time.Millisecond
			if s < f.servers/2 {
				elapsed = 600 * time.Millisecond
			}
			observe := func(e flowevent.Event) {
				e.Host = uint32(s + 1)
				f.vms[i].Observe(f.now, e)
				f.vms[i].SetLoaded(f.now, e.Host, f.marks(i))
			}
			observe(flowevent.Event{Kind: flowevent.Requested})
			at := (f.now + elapsed).Truncate(tickPeriod) + tickPeriod
			f.responses[at] = append(f.responses[at], func() {
				f.overloaded[i] = f.overloaded[i] || s < f.servers/2
				observe(flowevent.Event{Kind: flowevent.Answered, Elapsed: elapsed})
			})
		}
	}
	for _, respond := range f.responses[f.now] {
		respond()
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

// covered returns the least share of the slow servers of which an entry VM has an estimate.
func (f *fleet) covered() (least float64) {
	least = 1
	for _, x := range f.vms {
		known := 0
		for s := range f.servers / 2 {
			if e, ok := x.Estimate(f.now, uint32(s+1)); ok && e.Samples > 0 {
				known++
			}
		}
		least = min(least, float64(known)/float64(f.servers/2))
	}
	return least
}

// outstanding returns the means, over the slow servers, of the outstanding requests of the other entry VMs of the zone:
// as the first entry VM estimates them, and the actual ones.
func (f *fleet) outstanding() (estimated, actual float64) {
	for s := range uint32(f.servers / 2) {
		e, _ := f.vms[0].Estimate(f.now, s+1)
		estimated += e.Outstanding / float64(f.servers/2)
		for _, x := range f.vms[1:] {
			if o := x.observations[s+1]; o != nil && x.AvailabilityZone == f.vms[0].AvailabilityZone {
				actual += float64(o.outstanding) / float64(f.servers/2)
			}
		}
	}
	return estimated, actual
}

// Guards against messages on quiet days, against reports that go on after the load has ended, and against ones that stop
// at once, so that others learn too late that a server recovered.
func TestReportsOnlyWhileMarked(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 1, 2, 20)
	x := f.vms[0]
	marked, unmarked := f.marks, func(int) bool { return false }
	f.marks = unmarked
	f.run(5 * time.Second)
	x.SetLoaded(f.now, 1, false)
	x.SetLoaded(f.now, 99, false)
	x.SetLoaded(f.now, 1, true)
	x.Forget(1) // Its token is no longer in use.
	f.tick()
	is.Equal(f.sent+len(x.listed), 0)

	f.marks = marked
	f.run(3 * time.Second)
	f.marks = unmarked
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
	_, ok := x.Estimate(f.now, 1)
	is.True(!ok)
	is.Equal(len(x.servers)+len(x.listed)+x.reporters[f.vms[1].Self].entries, 0)
}

// Guards against a first report without what was observed before the server was marked, also while other servers are
// reported already, and against entries that keep their weight or are kept for too long.
func TestFirstReportIsComplete(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 1, 2, 0)
	x := f.vms[0]
	for _, kind := range []flowevent.Kind{flowevent.Requested, flowevent.Answered, flowevent.Refused} {
		x.Observe(f.now, flowevent.Event{Kind: kind, Host: 1, Elapsed: time.Second})
		x.Observe(f.now, flowevent.Event{Kind: kind, Host: 2, Elapsed: time.Second})
	}
	for _, token := range []uint32{1, 2} {
		f.now += time.Second
		x.SetLoaded(f.now, token, true)
		x.Tick(f.now)
	}
	for age, weight := range map[time.Duration]float64{
		0: 0.25, 500 * time.Millisecond: 0.177, 900 * time.Millisecond: 0.134, time.Second: 0,
	} {
		e, ok := f.vms[1].Estimate(f.now+age, 2)
		is.True(ok && math.Abs(e.Samples-weight) < 0.001 && math.Abs(e.Failures-weight) < 0.001)
		is.Equal(e.ResponseTime == time.Second, weight > 0)
		is.Equal(e.Outstanding, 0.0)
	}
	_, ok := f.vms[1].Estimate(f.now+retention, 2)
	is.True(!ok)
}

// Guards against exceeding the budget, against members that never receive a report, and against estimates that are wrong
// or come too late to help entry VMs that see few requests.
func TestFleet(t *testing.T) {
	for _, c := range []struct {
		name                string
		vms, zones, servers int
		perSecond           float64
		marked              bool // from the start
		loss                float64
		least               float64 // share of the slow servers that all entry VMs know within bound
		bound, run          time.Duration
	}{
		{"target size", 500, 11, 5700, 106, true, 0, 0.04, 3 * time.Second, time.Second},
		{"few requests", 124, 3, 150, 12, false, 0, 0.9, 2500 * time.Millisecond, 5 * time.Second},
		{"half lost", 124, 3, 150, 12, false, 0.5, 0.9, 4 * time.Second, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, c.vms, c.zones, c.servers, c.perSecond)
			f.lost = func(int, int) bool { return f.rand.Float64() < c.loss }
			if c.marked {
				f.marks = func(int) bool { return true }
			}
			started := f.now
			for f.covered() < c.least {
				is.True(f.now-started < c.bound)
				f.tick()
			}
			known := f.now - started
			f.run(c.run)
			least := f.covered()
			estimated, actual := f.outstanding()
			t.Logf("%.2f of the slow servers after %s, %.3f after %s; %d bytes in any second; outstanding requests of "+
				"others at a slow server: estimated %.2f, actual %.2f", c.least, known, least, f.now-started, f.most,
				estimated, actual)
			is.True(least > c.least*8/9)
			is.True(f.most <= bytesPerSecond && f.most > bytesPerSecond*8/10) // The budget is used.
			is.True(math.Abs(estimated-actual) < actual/2)                    // Although not all servers fit into a report.
			for _, x := range f.vms {
				is.True(c.loss > 0 || x.heard >= len(x.members)*9/10)
			}
			for s := range c.servers / 2 {
				e, _ := f.vms[0].Estimate(f.now, uint32(s+1))
				is.True(e.Samples == 0 || isSlow(e))
			}
		})
	}
}

// Guards against a zone that depends on a member that is cut off, restarts, or is too old to understand reports.
func TestMemberFails(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 1, 4, 20)
	const cut, old = 1, 2
	isOld := true
	f.lost = func(from, to int) bool { return from == cut || to == cut || isOld && (from == old || to == old) }
	f.run(5 * time.Second)
	known := func(i int) float64 {
		e, ok := f.vms[i].Estimate(f.now, 1)
		if !ok {
			return 0
		}
		is.True(plausible(e) && isSlow(e))
		return e.Outstanding
	}
	is.Equal(known(cut)+known(old), 0.0)
	// Each sees 5 requests per second to a server, so 3 are outstanding; the others of 6 have 15, although 3 report.
	is.True(known(0) > 8 && known(0) < 25)
	is.Equal(f.vms[0].heard, 3)

	isOld = false
	f.vms[old] = f.newExchange(old, uint64(time.Hour)+1) // Its sequence starts again.
	f.lost = func(int, int) bool { return false }
	f.run(2 * time.Second)
	is.True(known(cut) > 0 && known(old) > 0)
	is.Equal(f.vms[0].heard, 5)

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

// Guards against duplicates, reordering and reports of a former process that replace newer observations, and against
// reports of unknown members.
func TestOutdatedReportsAreRefused(t *testing.T) {
	is := is.New(t)
	x, _ := newReceiver(2)
	for _, c := range []struct {
		at                time.Duration
		from              string
		session, sequence uint64
		outstanding       uint8
		refused           string
		want              float64 // estimate for two others
	}{
		{0, "entry-0", 5, 3, 3, "", 6},
		{0, "entry-0", 5, 3, 200, reasonDuplicate, 6},
		{0, "entry-0", 5, 2, 200, reasonOutdated, 6},
		{0, "entry-0", 4, 9, 200, reasonOutdated, 6},
		{0, "self", 5, 9, 200, reasonOwn, 6},
		{0, "other", 5, 9, 200, reasonUnknown, 6},
		{0, "entry-0", 6, 1, 1, "", 2},                         // Restarted.
		{retention - 1, "entry-0", 1, 1, 3, reasonOutdated, 2}, // Restarted with its clock set back.
		{retention, "entry-0", 1, 2, 3, "", 6},
	} {
		m := &Message{From: c.from, Session: c.session, Sequence: c.sequence}
		m.Servers = []Server{{Token: 7, Outstanding: c.outstanding}}
		is.Equal(x.refusal(c.at, m), c.refused)
		x.Handle(c.at, m)
		e, _ := x.Estimate(c.at, 7)
		is.Equal(e.Outstanding, c.want)
	}
	values := x.Counters.Values()
	is.Equal(values["load-reports-refused"], int64(6))
	is.Equal(values["load-reports-refused-outdated"], int64(3))
	is.Equal(values["load-reports-received"], int64(3))
	x.Forget(7)
	_, ok := x.Estimate(retention, 7)
	is.True(!ok)
}

// Guards against outstanding requests that ended but still count, against omission of those that did not fit into a
// report, and against entries of a former process.
func TestLaterReportReplacesOutstanding(t *testing.T) {
	is := is.New(t)
	x, names := newReceiver(1)
	x.Handle(0, &Message{From: names[0], Session: 1, Sequence: 1, Servers: []Server{{Token: 7, Outstanding: 3}}})
	last := []Server{{Token: 8, Outstanding: 2}}
	x.Handle(0, &Message{From: names[0], Session: 1, Sequence: 2, Servers: last, Requests: 8})
	e, ok := x.Estimate(0, 7)
	is.True(ok && e.Outstanding == 0)
	e, _ = x.Estimate(0, 8)
	is.Equal(e.Outstanding, 8.0)
	x.Handle(0, &Message{From: names[0], Session: 2, Sequence: 1, Servers: last})
	_, ok = x.Estimate(cacheTime, 7)
	is.True(!ok)
}

// Guards against one reporter that determines the estimates of all: its values are wrong by ten times, or the greatest.
func TestOneWrongReporterChangesLittle(t *testing.T) {
	is := is.New(t)
	for _, wrong := range []Server{
		{Token: 7, ResponseTime: 4000, Samples: 80, Outstanding: 20, Failures: 80},
		{Token: 7, ResponseTime: 40, Samples: 80},
		{Token: 7, ResponseTime: maxResponse, Samples: 255, Outstanding: 255, Failures: 255},
	} {
		for _, n := range []int{3, 6} {
			x, names := newReceiver(n)
			x.Handle(0, &Message{From: names[0], Servers: []Server{wrong}})
			right := Server{Token: 7, ResponseTime: 400, Samples: 8, Outstanding: 2, Failures: 8}
			for _, name := range names[1:] {
				x.Handle(0, &Message{From: name, Servers: []Server{right}})
			}
			e, ok := x.Estimate(0, 7)
			is.True(ok && e.ResponseTime > 250*time.Millisecond && e.ResponseTime < 600*time.Millisecond)
			others := float64(n - 1)
			is.True(e.Outstanding >= 2*others && e.Outstanding <= 4*others)
			is.True(e.Failures >= others && e.Failures <= others+max(maxUnconfirmed, others) && e.Samples <= 2*others)
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
	f := newFleet(t, 5, 1, 4, 50)
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
	is.True(ok && plausible(e))
	f.run(2 * time.Second)
	e, ok = f.vms[0].Estimate(f.now, 1)
	is.True(ok && plausible(e) && isSlow(e))
}

// Guards against reports that omit the servers of which most is known, when not all fit.
func TestMostInformativeServersAreReported(t *testing.T) {
	is := is.New(t)
	x, _ := newReceiver(44)
	reported := map[uint32]bool{}
	x.Send = func(_ []member.Member, m *Message) {
		for _, s := range m.Servers {
			reported[s.Token] = true
		}
	}
	for i := range uint32(520) { // Every 50th of 500 has three responses, and the others one.
		host := i + 1
		if i >= 500 {
			host = i%10*50 + 1
		}
		x.Observe(0, flowevent.Event{Kind: flowevent.Answered, Host: host, Elapsed: time.Second})
		x.SetLoaded(0, host, true)
	}
	x.Tick(0)
	is.True(len(reported) < 500)
	for token := uint32(1); token <= 500; token += 50 {
		is.True(reported[token])
	}
}

// Guards against allocations for each packet.
func TestObserveDoesNotAllocate(t *testing.T) {
	x, _ := newReceiver(2)
	now := time.Duration(0)
	is.New(t).Equal(testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		host := uint32(now/time.Millisecond)%4 + 1
		x.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: host})
		x.Observe(now, flowevent.Event{Kind: flowevent.Answered, Host: host, Elapsed: time.Millisecond})
	}), 0.0)
}
