package member

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// The design bounds the times until all of 8 members have received a change.
const (
	joinBound  = 5 * time.Second
	deathBound = 6 * time.Second
	healBound  = 10 * time.Second
	leaveBound = 2 * time.Second
	seeds      = 16
)

// forEachSeed calls f with a converged network of the given size for each seed.
func forEachSeed(t *testing.T, size int, f func(is *is.I, n *network)) {
	t.Helper()
	t.Parallel()
	for seed := range uint64(seeds) {
		n := newNetwork(t.Fatalf, size, seed)
		n.converge(joinBound)
		n.Advance(2 * time.Second)
		f(is.New(t), n)
		if t.Failed() {
			t.Fatalf("failed with seed %d", seed)
		}
	}
}

// Guards against a dead member that still owns flows.
func TestDeathReachesAllMembers(t *testing.T) {
	var worst, sum time.Duration
	forEachSeed(t, 8, func(_ *is.I, n *network) {
		n.nodes[3].Stopped = true
		took := n.converge(deathBound)
		worst, sum = max(worst, took), sum+took
	})
	t.Logf("worst %v, mean %v", worst, sum/seeds)
}

// Guards against a leaving member that receives new flows, and against a late update that makes it an owner again.
func TestLeaveMovesOwnershipAtOnce(t *testing.T) {
	var worst time.Duration
	forEachSeed(t, 8, func(is *is.I, n *network) {
		n.Loss, n.Duplication, n.Jitter = 0.05, 0.2, 400*time.Millisecond
		x := n.nodes[3]
		_, before := x.Owners()
		x.Leave(n.Now())
		own, after := x.Owners()
		is.Equal(len(own), 7)
		is.Equal(after, before+1)
		worst = max(worst, n.converge(leaveBound))
		old := x.Self
		old.State = StateAlive
		for _, y := range n.nodes[1:3] {
			y.apply(n.Now(), old, false, false)
			owners, _ := y.Owners()
			is.Equal(len(owners), 7)
		}
	})
	t.Logf("worst %v", worst)
}

// Guards against a member that loses the ownership of its flows through a short pause.
func TestPauseOfTwoSecondsKeepsMemberAlive(t *testing.T) {
	forEachSeed(t, 8, func(is *is.I, n *network) {
		x := n.nodes[5]
		x.Paused = true
		is.True(!n.seenDead(x, 2*time.Second))
		n.resume(x)
		is.True(!x.Settled(n.Now()))
		is.True(!n.seenDead(x, 6*time.Second))
		is.True(x.Settled(n.Now()))
		is.Equal(n.disagreement(), "")
	})
}

// Guards against a false death with many members, where a refutation may take longer to spread than a suspicion lasts.
func TestPauseAmongManyMembersKeepsMemberAlive(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newNetwork(t.Fatalf, 64, 1)
	n.shareViews()
	x := n.nodes[5]
	x.Paused = true
	is.True(!n.seenDead(x, 2*time.Second))
	n.resume(x)
	is.True(!n.seenDead(x, 6*time.Second))
}

// Guards against an update that makes a member dead at a process that can still reach it.
func TestRemoteDeathIsTreatedAsSuspicion(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t.Fatalf, 3, 1)
	n.converge(joinBound)
	x := n.nodes[0]
	u := n.nodes[1].Self
	u.State = StateDead
	x.apply(n.Now(), u, false, false)
	m, _ := x.Get(u.Name)
	is.Equal(m.State, StateSuspect)
	n.nodes[1].Stopped = true
	n.Advance(deadAfter)
	m, _ = x.Get(u.Name)
	is.Equal(m.State, StateDead)
}

// Guards against a process that is still settled after a pause, when its view is outdated, and against one that never
// settles again.
func TestResumeClearsSettled(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t.Fatalf, 1, 1)
	x := n.nodes[0]
	n.Advance(settleAfter)
	is.True(x.Settled(n.Now()))
	before := x.Self.Incarnation
	x.Resume(n.Now())
	is.Equal(x.Self.Incarnation, before+1)
	n.Advance(settleAfter - time.Millisecond)
	is.True(!x.Settled(n.Now()))
	n.Advance(time.Millisecond)
	is.True(x.Settled(n.Now()))
}

// Guards against a process that is settled after a pause before it has received the changes made during the pause.
func TestLongPauseRejoins(t *testing.T) {
	for _, pause := range []time.Duration{20 * time.Second, 200 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			forEachSeed(t, 8, func(is *is.I, n *network) {
				x := n.nodes[5]
				before := x.Self.Incarnation
				alone := x.Counters.Values()["member-settled-without-reply"]
				x.Paused = true
				n.converge(deathBound)
				n.nodes[2].Stopped = true
				n.Advance(pause)
				n.resume(x)
				is.True(x.Self.Incarnation > before)
				for !x.Settled(n.Now()) {
					n.Advance(10 * time.Millisecond)
				}
				m, _ := x.Get(n.nodes[2].Self.Name)
				is.Equal(m.State, StateDead) // Received before the process is settled.
				is.Equal(x.Counters.Values()["member-settled-without-reply"], alone)
				n.converge(deathBound)
			})
		})
	}
}

// Guards against members that remain separated after a partition, and against false deaths within one side when the
// views are merged.
func TestPartitionHeals(t *testing.T) {
	var worst time.Duration
	forEachSeed(t, 8, func(is *is.I, n *network) {
		n.Isolated["wa-south"] = true
		n.Advance(deathBound + 2*time.Second)
		is.Equal(n.disagreement(), "")
		south, _ := n.nodes[1].Owners()
		rest, _ := n.nodes[0].Owners()
		is.Equal(len(south), 3)
		is.Equal(len(rest), 5)
		n.Advance(20 * time.Second)
		clear(n.Isolated)
		start := n.Now()
		for n.disagreement() != "" && n.Now()-start < healBound {
			n.Advance(tick)
			owners, _ := n.nodes[1].Owners()
			is.True(len(owners) >= 3)
		}
		is.Equal(n.disagreement(), "")
		worst = max(worst, n.Now()-start)
	})
	t.Logf("worst %v", worst)
}

// Guards against a predecessor that prevents its replacement from joining, and against an address with two names.
func TestReplacedProcessJoins(t *testing.T) {
	forEachSeed(t, 8, func(is *is.I, n *network) {
		n.start("vm-003", 3, 1) // Old name, old address.
		n.start("vm-new", 4, 1) // New name at an old address.
		n.nodes[5].Stopped = true
		n.start("vm-005", 77, 1) // Old name, new address.
		n.converge(deathBound)
		is.Equal(n.nodes[0].Counters.Values()["member-duplicate-name"], int64(0))
	})
}

// Guards against two processes with one name that replace each other repeatedly without an error in the log.
func TestDuplicateNameIsReported(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t.Fatalf, 8, 1)
	n.converge(joinBound)
	core, logs := observer.New(zap.ErrorLevel)
	for _, x := range n.nodes {
		x.Logger = zap.New(core)
	}
	n.start("vm-003", 77, 1)
	n.Advance(20 * time.Second)
	is.True(logs.FilterMessage("two live processes use one member name").Len() > 0)
	is.True(n.nodes[3].Counters.Values()["member-duplicate-name"] > 0)
	owners, _ := n.nodes[3].Owners()
	is.Equal(len(owners), 7) // The lower incarnation does not own flows.
	m, _ := n.nodes[0].Get("vm-003")
	is.Equal(m.Control, address(77, 7000))
	generation := func() uint64 { _, g := n.nodes[0].Owners(); return g }
	before := generation()
	n.Advance(20 * time.Second)
	is.Equal(generation(), before)
}

// Guards against views that do not converge and against false deaths when messages are lost, duplicated and delayed.
func TestViewsConvergeOnLossyNetwork(t *testing.T) {
	forEachSeed(t, 8, func(is *is.I, n *network) {
		n.Loss, n.Duplication, n.Jitter = 0.1, 0.2, 150*time.Millisecond
		is.True(!n.seenDead(n.nodes[2], 20*time.Second))
		n.nodes[3].Stopped = true
		n.nodes[6].Leave(n.Now()) // Two members change at the same time.
		n.converge(2 * deathBound)
	})
}

// Guards against addresses from the platform that become members without a message from them, and against a process
// that finds no members although the platform lists some.
func TestPlatformAddressesAreOnlyPinged(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t.Fatalf, 3, 1)
	n.converge(joinBound)
	x := n.start("vm-010", 10, 200)
	x.contacts = nil
	x.SetPlatformAddresses([]netip.AddrPort{address(99, 7000), address(2, 7000)})
	is.Equal(len(x.Members()), 1)
	n.converge(joinBound)
	is.Equal(len(x.Members()), 4)
}

// Guards against a list that grows without limit, and against a removed member that an outdated view adds again.
func TestDeadMemberIsForgotten(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t.Fatalf, 3, 1)
	n.converge(joinBound)
	n.nodes[2].Stopped = true
	n.Advance(forgetAfter + 10*time.Second)
	for _, x := range n.live() {
		is.Equal(len(x.Members()), 2)
	}
	dead := n.nodes[2].Self
	dead.State = StateDead
	n.nodes[0].apply(n.Now(), dead, false, false)
	is.Equal(len(n.nodes[0].Members()), 2)
}

// Guards against a generation that changes while the set of eligible owners does not.
func TestGenerationChangesWithOwners(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t.Fatalf, 8, 1)
	n.converge(joinBound)
	_, before := n.nodes[0].Owners()
	x := n.nodes[4]
	x.Paused = true
	n.Advance(2 * time.Second)
	n.resume(x)
	n.Advance(5 * time.Second)
	_, after := n.nodes[0].Owners()
	is.Equal(after, before)
	x.Stopped = true
	n.Advance(deathBound)
	_, after = n.nodes[0].Owners()
	is.Equal(after, before+1)
}

// Guards against a sender that claims the name of another member.
func TestSenderMustMatchCertificate(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t.Fatalf, 2, 1)
	n.converge(joinBound)
	forged := Message{Kind: Notice, From: n.nodes[1].Self}
	forged.From.State = StateLeaving
	n.nodes[0].Handle(n.Now(), "vm-666", forged)
	is.Equal(n.disagreement(), "")
	is.Equal(n.nodes[0].Counters.Values()["member-refused-sender"], int64(1))
}

// Guards against pings between availability zones that grow with the number of members although each zone monitors its
// own members, and against a death that is reported only in its own zone.
func TestCrossZonePingsAreRare(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t.Fatalf, 24, 1)
	pings, crossZone, mostUpdates := 0, 0, 0
	for _, x := range n.nodes {
		x.CrossZoneRounds = 5
		send := x.Send
		x.Send = func(to Member, m Message) {
			if m.Kind == Ping && to.Name != "" {
				pings++
				if to.Zone != x.Self.Zone {
					crossZone++
				}
			}
			if to.Name != "" && to.Zone != x.Self.Zone && m.Kind != Exchange {
				mostUpdates = max(mostUpdates, len(m.Updates))
			}
			send(to, m)
		}
	}
	n.converge(2 * joinBound)
	pings, crossZone, mostUpdates = 0, 0, 0
	n.start("vm-new", 24, 0)
	n.Advance(2 * time.Minute)
	// Of 51 pings in five rounds, 16 go from a zone of eight members to another zone.
	is.True(crossZone > 0)
	is.True(mostUpdates <= 4)
	is.True(crossZone*5 < pings*2)
	n.nodes[3].Stopped = true
	n.converge(2 * deathBound)
}
