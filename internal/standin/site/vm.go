package site

import (
	"net/netip"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/entry"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/timer"
)

// Ports and sockets of an entry VM.
const (
	fabricPort  = 6081
	controlPort = 7000
	dataPort    = 7001
	poolPort    = 20000           // first port of the pool of outer source ports
	linkPort    = 30000           // first local port of links
	poolSize    = 8               // outer source ports in the pool
	poolPeriod  = 5 * time.Second // time after which a flow uses the next outer source port
	mtu         = 1440            // bytes
)

// VM is one entry VM process.
type VM struct {
	Entry
	// Engine is the process under test.
	Engine *entry.Engine
	// HandleDatagram is called with each received datagram. It is the method of the Engine unless Config.Setup replaces
	// it.
	HandleDatagram func(now time.Duration, source netip.AddrPort, fromPeer bool, datagram []byte)
	// Address is the address of all ports of the VM.
	Address netip.Addr
	// Counters are the counters of the engine.
	Counters *counter.Set
	// Started is the virtual time at which the process started.
	Started time.Duration
	// Dead reports whether the process has ended, Paused whether it is paused.
	Dead, Paused bool
	// MessageBytes counts the body bytes of sent messages by kind.
	MessageBytes [entry.KindHint + 1]int
	// QueueDrops counts the datagrams, messages and documents dropped because the queue of a paused process was full.
	QueueDrops int

	site         *Site
	timer        timer.Service
	queued       []func()                 // calls to make after the pause
	versions     [len(fleet.Kinds)]uint64 // active versions at the last check
	readVersions [len(fleet.Kinds)]uint64 // versions last read from the platform
}

// StartVM starts an entry VM process. A process with the name of a previous one gets the same address.
func (s *Site) StartVM(e Entry) *VM {
	n := slices.IndexFunc(s.Config.Entries, func(o Entry) bool { return o.Name == e.Name })
	if n < 0 {
		n = len(s.Config.Entries)
		s.Config.Entries = append(s.Config.Entries, e)
	}
	v := &VM{
		Entry: e, Address: netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), Counters: counter.New(), Started: s.Now, site: s,
	}
	epoch := Epoch.Add(s.Now)
	v.Engine = &entry.Engine{
		Self: member.Member{
			Name: e.Name, Zone: e.Zone, Region: "region", Size: e.Size, Incarnation: uint64(epoch.UnixMilli()),
			Control: netip.AddrPortFrom(v.Address, controlPort), Data: netip.AddrPortFrom(v.Address, dataPort),
		},
		Epoch: epoch, Seed: s.random.Uint64(), MTU: mtu, FlowCapacity: s.Config.FlowCapacity, Counters: v.Counters,
		ToFabric: func(b []byte, hash uint64) { s.toCaller(v, slices.Clone(b), hash) },
		ToHost:   func(to netip.AddrPort, b []byte, hash uint64) { s.toHost(v, to, slices.Clone(b), hash) },
		ToPeer:   func(to netip.AddrPort, b []byte, hash uint64) { s.toPeer(v, to, slices.Clone(b), hash) },
		Send:     func(to member.Member, kind entry.Kind, body []byte) { s.send(v, to, kind, body) },
	}
	// The contacts, which the settings of each process list, are the first three VMs of the site.
	for i := range min(3, len(s.Config.Entries)) {
		v.Engine.Contacts = append(v.Engine.Contacts,
			netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), controlPort))
	}
	v.HandleDatagram = v.Engine.HandleDatagram
	if s.Config.Setup != nil {
		s.Config.Setup(s, v)
	}
	s.VMs = append(s.VMs, v)
	v.timer.OnPause(v.Engine.HandlePause)
	v.timer.Subscribe(entry.TickPeriod, v.Engine.Tick)
	v.Engine.Start(0)
	v.tick()
	v.pollDocuments()
	return v
}

// tick runs the process, unless it is paused, and schedules the next tick.
func (v *VM) tick() {
	if v.Dead {
		return
	}
	if !v.Paused {
		v.step(nil)
	}
	v.site.After(entry.TickPeriod, v.tick)
}

// step advances the clock of the process to the current time, calls f unless it is nil, and checks that the versions of
// the documents did not decrease.
func (v *VM) step(f func()) {
	v.timer.Advance(v.site.Now - v.Started - v.timer.Now())
	if f != nil {
		f()
	}
	for i, kind := range fleet.Kinds {
		n := v.Engine.Version(kind)
		if n < v.versions[i] {
			v.site.recordViolation("%s went back from version %d to %d of the document %s", v.Name, v.versions[i], n, kind)
		}
		v.versions[i] = n
	}
}

// receive calls f in the process. If the process is paused, f is queued until it resumes.
func (v *VM) receive(f func()) {
	switch {
	case v.Dead:
	case !v.Paused:
		v.step(f)
	case len(v.queued) < v.site.Config.PausedQueueLimit:
		v.queued = append(v.queued, f)
	default:
		v.QueueDrops++
	}
}

// now returns the clock value of the process.
func (v *VM) now() time.Duration { return v.timer.Now() }

// Kill ends the process at once.
func (v *VM) Kill() { v.Dead = true }

// Pause pauses the process until Resume. Datagrams and messages that arrive in the pause are queued up to
// Config.PausedQueueLimit.
func (v *VM) Pause() { v.Paused = true }

// Resume ends the pause of the process. It handles the queued datagrams and messages before its first tick.
func (v *VM) Resume() {
	if v.Dead || !v.Paused {
		return
	}
	v.Paused = false
	v.timer.Skip(v.site.Now - v.Started - v.timer.Now())
	v.timer.Check()
	queued := v.queued
	v.queued = nil
	for _, f := range queued {
		v.step(f)
	}
	v.step(nil)
}

// Drain drains the process. The process ends once it has handed over its pins, after at least 3 s and at most about 30 s.
func (v *VM) Drain() {
	v.receive(func() { v.Engine.Drain(v.now()) })
	deadline := v.site.Now + 30*time.Second
	var wait func()
	wait = func() {
		if !v.Paused && v.Engine.Drained() || v.site.Now >= deadline {
			v.Kill()
			return
		}
		v.site.After(100*time.Millisecond, wait)
	}
	// Until the announcement has reached all VMs, packets are still forwarded to this VM as the owner.
	v.site.After(3*time.Second, wait)
}

// VM returns the most recently started process with the name, or nil.
func (s *Site) VM(name string) *VM {
	for _, v := range slices.Backward(s.VMs) {
		if v.Name == name {
			return v
		}
	}
	return nil
}
