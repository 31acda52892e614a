package sizing

import (
	"flag"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/entry"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
)

// full enables the restarts and the loss of members at the target too, which take several minutes.
var full = flag.Bool("full", false, "run all events at the size of the target")

// flowsPerVM is the number of new flows per second of one daemon at the target: 53,000 per second over 500 daemons.
const flowsPerVM = 106

// usage is the resource usage of the daemons of a fleet since resetUsage.
type usage struct {
	cpu, longest         time.Duration // of all daemons; the longest time for which the lock of one was held
	sent, messages       [entry.KindHint + 1]int
	maxCPU               time.Duration
	maxSent, maxReceived int // bytes, maximum of a single daemon
	documents            int // bytes of documents received by all daemons
}

func (n *network) usage() usage {
	var u usage
	for _, v := range n.vms {
		u.cpu += v.cpuTime
		u.maxCPU, u.longest = max(u.maxCPU, v.cpuTime), max(u.longest, v.longestLocked)
		sent, received := 0, 0
		for k := entry.KindMembership; k <= entry.KindHint; k++ {
			u.sent[k] += v.sent[k]
			u.messages[k] += v.messages[k]
			sent += v.sent[k]
			received += v.received[k]
		}
		u.maxSent, u.maxReceived = max(u.maxSent, sent), max(u.maxReceived, received)
		u.documents += v.received[entry.KindConfiguration]
	}
	return u
}

// measureIdle runs the fleet for a time and adds a row with the mean usage of a daemon per second.
func (n *network) measureIdle(t *Table, seconds int, heapBytes float64) {
	n.resetUsage()
	n.clock.Advance(time.Duration(seconds) * time.Second)
	u := n.usage()
	per := float64(len(n.vms) * seconds)
	t.Add(float64(n.size), float64(u.cpu.Microseconds())/per, float64(u.sent[entry.KindMembership])/per,
		float64(u.messages[entry.KindMembership])/per, float64(u.sent[entry.KindReport])/per, float64(u.messages[entry.KindReport])/per,
		float64(u.sent[entry.KindHint])/per,
		u.longest.Seconds()*1000, heapBytes/float64(len(n.vms))/1000)
}

var idleColumns = []string{
	"CPU-µs/s", "members-B/s", "members-msg/s", "reports-B/s", "reports-msg/s", "hints-B/s", "longest-ms", "heap-KB",
}

// measureEvent calls begin, runs the fleet until done returns true for all live engines, and adds a row.
func (n *network) measureEvent(t *Table, limit time.Duration, begin func(), done func(*vm) bool) {
	n.resetUsage()
	begin()
	took := n.runUntil(limit, done)
	late := n.count(allVMs) - n.count(done)
	u := n.usage()
	vms := float64(len(n.vms))
	total := 0
	for _, b := range u.sent {
		total += b
	}
	document := float64(len(encodeDocument(fleet.Inventory, n.scale, 1)))
	t.Add(float64(n.size), took.Seconds(), float64(late), u.cpu.Seconds()*1000/vms, u.maxCPU.Seconds()*1000,
		u.longest.Seconds()*1000, float64(total)/vms/1000, float64(u.maxSent)/1000, float64(u.maxReceived)/1000,
		float64(u.documents)/vms/document)
}

var eventColumns = []string{
	"took-s", "late", "CPU-ms", "most-CPU-ms", "longest-ms", "sent-KB", "most-sent-KB", "most-received-KB", "documents",
}

func hasVersion(kind fleet.Kind, version uint64) func(*vm) bool {
	return func(v *vm) bool { return v.Version(kind) == version }
}

// shares are the shares of pairs of a live and a dead daemon for which the detection time is reported.
var shares = [...]float64{0.5, 0.9, 0.99, 1}

// BenchmarkFleet measures whole fleets without events, during changes of the configuration and restarts, and after the
// loss of a third of the members of a region. Values are per daemon.
func BenchmarkFleet(*testing.B) {
	idle := Table{Title: "Quiet, without flows", Size: "VMs", Columns: idleColumns}
	all := Table{Title: "New inventory, read by every daemon from the platform", Size: "VMs", Columns: eventColumns}
	one := Table{Title: "New inventory, read by one daemon from the platform", Size: "VMs", Columns: eventColumns}
	restart := Table{Title: "20 daemons (2 of 8) are replaced at once, without a drain", Size: "VMs", Columns: eventColumns}
	lost := Table{Title: "A third of the members of a region is lost", Size: "VMs", Columns: eventColumns}
	deaths := Table{
		Title: "Then, time until a share of all pairs of a live daemon and a lost one is known", Size: "VMs",
		Columns: []string{"half-s", "90%-s", "99%-s", "all-s"},
	}
	for _, s := range []scale{current, tenth, region, target} {
		before := liveHeap()
		n := newReadyNetwork(s, 1, defaultStep, nil)
		n.measureIdle(&idle, 2, liveHeap()-before)
		n.measureEvent(&all, 10*time.Second, func() { n.publish(fleet.Inventory, 2, allVMs) }, hasVersion(fleet.Inventory, 2))
		n.measureEvent(&one, 10*time.Second, func() {
			n.publish(fleet.Inventory, 3, func(v *vm) bool { return v.index == s.size/2 })
		}, hasVersion(fleet.Inventory, 3))
		if s == target && !*full {
			continue
		}
		burst := min(20, s.size/4)
		n.measureEvent(&restart, 90*time.Second, func() {
			for i := range burst {
				n.startVM(s.size - 1 - i)
			}
		}, func(v *vm) bool { return v.Ready() && v.Version(fleet.Inventory) == 3 && v.seesAllMembers(n) })
		dead, began := 0, n.clock.Now()
		var times [len(shares)]float64
		stop := n.clock.Subscribe(100*time.Millisecond, func(now time.Duration) {
			known, live := 0, 0
			for _, v := range n.vms {
				if !v.dead {
					known, live = known+s.size-v.liveMembers(), live+1
				}
			}
			for i, share := range shares {
				if times[i] == 0 && float64(known) >= share*float64(live*dead) {
					times[i] = (now - began).Seconds()
				}
			}
		})
		n.measureEvent(&lost, 60*time.Second, func() {
			members := n.count(func(v *vm) bool { return v.region == 0 })
			for _, v := range n.vms[3:] {
				if v.region == 0 && dead < members/3 {
					v.dead = true
					dead++
				}
			}
		}, func(v *vm) bool { return v.liveMembers() == s.size-dead })
		stop()
		deaths.Add(float64(s.size), times[:]...)
	}
	for _, t := range []*Table{&idle, &all, &one, &restart, &lost, &deaths} {
		printTable(t)
	}
}

// seesAllMembers reports whether the current process of every VM is alive in the view of v.
func (v *vm) seesAllMembers(n *network) bool {
	known := 0
	for _, m := range v.Members() {
		if p := n.byName[m.Name]; p != nil && m.Incarnation >= p.Self.Incarnation && m.State == member.StateAlive {
			known++
		}
	}
	return known == len(n.vms)
}

// BenchmarkTraffic measures fleets in which each daemon opens flows at the rate of the target. Each flow has one
// request.
func BenchmarkTraffic(*testing.B) {
	t := Table{Title: "106 new flows/s for each daemon", Size: "VMs", Columns: idleColumns}
	whole := Table{Title: "The same in a region of the target that divides the services of all regions", Size: "VMs", Columns: idleColumns}
	for _, s := range []scale{current, tenth, region, {region.size, target.hosts, target.services, 1}} {
		table := &t
		if s.services == target.services {
			table = &whole
		}
		n := newReadyNetwork(s, 1, defaultStep, &traffic{perVM: flowsPerVM})
		n.clock.Advance(3 * time.Second)
		n.measureIdle(table, 3, 0)
	}
	printTable(&t)
	printTable(&whole)
}

// BenchmarkRegions measures three regions that are partitioned for a minute or an hour and publish different versions
// meanwhile, and then the time until all have the newest version and see all members.
func BenchmarkRegions(*testing.B) {
	t := Table{Title: "Three regions meet again, until the newest version is in force", Size: "VMs", Columns: eventColumns}
	known := Table{Title: "Then until all members are known", Size: "VMs", Columns: eventColumns}
	apart := Table{Title: "Three regions apart", Size: "VMs", Columns: idleColumns}
	for _, c := range []struct {
		scale
		apart time.Duration
		step  time.Duration
	}{
		{scale{12, 18, 4, 3}, time.Hour + time.Minute, entry.TickPeriod},
		{scale{24, 66, 11, 3}, time.Minute, entry.TickPeriod},
		{scale{96, 570, 110, 3}, time.Minute, entry.TickPeriod},
		{scale{192, 570, 110, 3}, time.Minute, entry.TickPeriod},
	} {
		n := newReadyNetwork(c.scale, 1, c.step, nil)
		n.partitioned = true
		for r := range 3 {
			n.publish(fleet.Inventory, uint64(2+r), func(v *vm) bool { return v.region == r })
		}
		n.listAddresses()
		n.clock.Advance(c.apart - 2*time.Second)
		n.measureIdle(&apart, 2, 0)
		n.measureEvent(&t, 30*time.Second, func() { n.partitioned = false }, hasVersion(fleet.Inventory, 4))
		n.measureEvent(&known, 90*time.Second, func() {}, func(v *vm) bool { return v.liveMembers() == n.size })
	}
	printTable(&apart)
	printTable(&t)
	printTable(&known)
}

// listAddresses passes the platform's list of VMs to every daemon.
func (n *network) listAddresses() {
	list := n.controlAddresses()
	for _, v := range n.vms {
		v.SetPlatformAddresses(list)
	}
}
