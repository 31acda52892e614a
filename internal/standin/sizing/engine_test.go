package sizing

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/entry"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
)

// singleEngine is one engine that receives messages about the other members of a fleet from the benchmark.
type singleEngine struct {
	entry.Engine
	now     time.Duration
	members []member.Member
}

func newSingle(s scale) *singleEngine {
	e := &singleEngine{}
	for i := range s.size {
		zone := i % s.zones()
		at := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		e.members = append(e.members, member.Member{
			Name: fmt.Sprintf("entry-%04d", i), Zone: zoneName(zone), Region: fmt.Sprintf("region-%d", zone%s.regions+1), Size: 300,
			Control: netip.AddrPortFrom(at, 7000), Data: netip.AddrPortFrom(at, 7001), Incarnation: 1_764_000_000_000,
		})
	}
	e.Self, e.Seed, e.MTU, e.FlowCapacity, e.Counters = e.members[0], 1, 1440, 1000, counter.New()
	e.Send = func(member.Member, entry.Kind, []byte) {}
	e.Start(0)
	e.now = 4 * time.Second // The view settles without a contact.
	e.Tick(e.now)
	return e
}

// receiveUpdates handles a message of member 1 with updates about other members.
func (e *singleEngine) receiveUpdates(updates ...member.Member) {
	b, err := member.Encode(member.Message{Kind: member.Notice, From: e.members[1], Updates: updates})
	if err != nil {
		panic(err) // cannot happen: the members are valid
	}
	m, err := entry.Decode(e.members[1].Name, entry.KindMembership, b)
	if err != nil {
		panic(err)
	}
	e.HandleMessage(e.now, m)
}

func (e *singleEngine) join() {
	for i := 2; i < len(e.members); i += 6 {
		e.receiveUpdates(e.members[i:min(i+6, len(e.members))]...)
	}
}

func (e *singleEngine) publish(s scale) {
	for _, kind := range fleet.Kinds {
		e.HandleDocument(e.now, fleet.Prepare(kind, "platform", encodeDocument(kind, s, 1)))
	}
}

// BenchmarkMemberChange measures the time for which the lock of an engine is held when a member of its region leaves or
// joins, and the time that a new process with active documents takes to add all members to its view.
func BenchmarkMemberChange(b *testing.B) {
	for _, services := range []int{4, 110, 1100} {
		t := Table{
			Title: fmt.Sprintf("One change of one member, %d services, by VMs of the region", services), Size: "VMs",
			Columns: []string{"change-ms", "configure-ms", "learn-all-ms", "heap-KB"},
		}
		for _, size := range []int{8, 64, 167} {
			s := scale{size, services * 57 / 11, services, 1}
			before := liveHeap()
			e := newSingle(s)
			e.join()
			e.publish(s)
			held := liveHeap() - before
			version, leaver := uint64(1), e.members[size-1]
			change := perCall(func() { // Each call is one change: leaving, then alive in a new incarnation.
				leaver.State = member.StateLeaving - leaver.State
				if leaver.State == member.StateAlive {
					leaver.Incarnation++
				}
				e.receiveUpdates(leaver)
			}) / 1000
			runtime.LockOSThread()
			var configure time.Duration
			const changes = 5
			for range changes {
				version++
				document := fleet.Prepare(fleet.Rules, "platform", encodeRules(s, version))
				start := threadTime()
				if !e.HandleDocument(e.now, document) {
					b.Fatal("the rules were refused")
				}
				configure += threadTime() - start
			}
			fresh := newSingle(s)
			fresh.publish(s)
			start := threadTime()
			fresh.join()
			learn := threadTime() - start
			runtime.UnlockOSThread()
			t.Add(float64(size), change, configure.Seconds()*1000/changes, learn.Seconds()*1000, held/1000)
			runtime.KeepAlive(e)
		}
		printTable(&t)
	}
}

// BenchmarkOperator measures the cost of one status request.
func BenchmarkOperator(b *testing.B) {
	t := Table{Title: "One status request, by hosts", Size: "hosts", Columns: []string{"locked-µs", "encode-µs", "answer-KB"}}
	for _, s := range []scale{current, tenth, target} {
		e := newSingle(s)
		e.join()
		e.publish(s)
		locked := perCall(func() { e.Status(e.now) })
		status := e.Status(e.now)
		size := 0.0
		encoded := perCall(func() {
			a, err := json.Marshal(status)
			if err != nil {
				b.Fatal(err)
			}
			size = float64(len(a)) / 1000
		})
		t.Add(float64(s.hosts), locked, encoded, size)
	}
	printTable(&t)
}
