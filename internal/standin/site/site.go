package site

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/document"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/inventory"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/rules"
	"github.com/masticspar/masticspar/internal/standin/backend"
	"github.com/masticspar/masticspar/internal/standin/caller"
	"github.com/masticspar/masticspar/internal/standin/schedule"
)

// Epoch is the wall-clock time at virtual time zero.
var Epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// Site is a running simulation, created by New.
type Site struct {
	// Config is the configuration with its defaults set; Tick and the delays may be changed during a run.
	Config Config
	// Now is the virtual time since the start.
	Now time.Duration
	// VMs are the entry VM processes in the order of their start, including replaced and dead ones.
	VMs []*VM
	// Hosts are the backend servers in the order of the inventory.
	Hosts []*Host
	// Callers are the caller groups in the order of the Config.
	Callers []*caller.Caller
	// Platform serves the documents to the entry VMs.
	Platform Platform
	// Loss and MessageLoss are the loss probabilities of packets and of messages between entry VMs.
	Loss, MessageLoss float64
	// Blackholed is the set of paths that lose all packets and messages.
	Blackholed map[Path]bool
	// Inventory is the inventory as last published; PublishInventory publishes changes.
	Inventory inventory.Document
	// Rules are the rules as last published; PublishRules publishes changes.
	Rules rules.Document
	// Violations describes the first 20 violations of the safety rules.
	Violations []string
	// BrokenFlows are the flows whose outcome is neither "whole" nor "refused"; see caller.Report.
	BrokenFlows []BrokenFlow

	random         *rand.Rand
	queue          schedule.Queue
	cut            map[[2]string]bool   // by the zones that a packet travels from and to
	links          map[[2]string]*link  // by the names of the sending and the receiving entry VM
	flows          map[packet.Key]*flow // by the key in the direction from the caller
	executed       map[string]int       // executions by request token
	codec          geneve.Codec
	view           packet.Packet
	hostsByAddress map[netip.Addr]*Host
}

// BrokenFlow is a flow that ended, but neither with its whole response nor with a refusal.
type BrokenFlow struct {
	// Time is the virtual time at which the caller ended the flow.
	Time time.Duration
	// Key is the key of the flow in the direction from the caller.
	Key packet.Key
	// Cause is the outcome that the caller reported; see caller.Report.
	Cause string
	// Host is the name of the host that received payload, empty if none did.
	Host string
	// Accepted are the names of the hosts that accepted a connection for the flow.
	Accepted []string
}

// Host is a backend server of the site.
type Host struct {
	*backend.Host
	// Zone is the name of the availability zone.
	Zone string
	// Service is the name of the service.
	Service string
	// Address is the tunnel address.
	Address netip.AddrPort
	// LastAccepted is the virtual time at which the host last accepted a connection.
	LastAccepted time.Duration
	// StopWhenIdle reports whether the host stops as soon as it has no open connections.
	StopWhenIdle bool
}

// After calls f when the virtual time has advanced by d.
func (s *Site) After(d time.Duration, f func()) { s.queue.At(s.Now+d, f) }

// Run advances the virtual time by d.
func (s *Site) Run(d time.Duration) {
	end := s.Now + d
	for call, due := s.queue.Next(end); call != nil; call, due = s.queue.Next(end) {
		s.Now = due
		call()
	}
	s.Now = end
}

// New builds a site, publishes its first documents and starts its entry VMs.
func New(c Config) *Site {
	c.LocalDelay = cmp.Or(c.LocalDelay, 200*time.Microsecond)
	c.ZoneDelay, c.CallerDelay = cmp.Or(c.ZoneDelay, time.Millisecond), cmp.Or(c.CallerDelay, time.Millisecond)
	c.Tick, c.FlowCapacity = cmp.Or(c.Tick, 5*time.Millisecond), cmp.Or(c.FlowCapacity, 20_000)
	c.PausedQueueLimit = cmp.Or(c.PausedQueueLimit, 256)
	s := &Site{
		Config: c, random: rand.New(rand.NewPCG(c.Seed, 0x517e)), Blackholed: map[Path]bool{}, cut: map[[2]string]bool{},
		links: map[[2]string]*link{}, flows: map[packet.Key]*flow{}, executed: map[string]int{},
		hostsByAddress: map[netip.Addr]*Host{},
	}
	addresses := map[string]netip.AddrPort{}
	s.Inventory.AvailabilityZones = c.Zones
	for i, v := range c.Services {
		addresses[v.Name] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i + 1)}), 443)
		s.Inventory.Services = append(s.Inventory.Services, inventory.Service{
			Name: v.Name, Protocol: v.Protocol, Addresses: []netip.AddrPort{addresses[v.Name]},
			OwnerGroup: inventory.DefaultOwnerGroup, IdleTimeout: document.Duration(inventory.DefaultTCPIdleTimeout),
			WarmUp:  document.Duration(inventory.DefaultWarmUp),
			MaxWait: document.Duration(cmp.Or(v.MaxWait, inventory.DefaultMaxWait)),
		})
		for j := range v.Hosts {
			s.addHost(i, j, addresses[v.Name])
		}
	}
	for i, g := range c.Callers {
		s.addCallers(i, g, addresses)
	}
	s.PublishInventory()
	s.PublishRules()
	for _, e := range c.Entries {
		s.StartVM(e)
	}
	s.tick()
	return s
}

func (s *Site) addHost(service, n int, address netip.AddrPort) {
	v := s.Config.Services[service]
	h := &Host{
		Zone: s.Config.Zones[n%len(s.Config.Zones)], Service: v.Name,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(service), byte(n + 1)}), 6081),
	}
	h.Host = &backend.Host{
		Name: fmt.Sprintf("%s-%d", v.Name, n), Services: []netip.AddrPort{address}, ServiceTime: v.ServiceTime, MaxRetries: s.Config.MaxRetries,
		Random:   rand.New(rand.NewPCG(s.Config.Seed, uint64(service)<<16|uint64(n)+1)),
		Emit:     func(inner []byte, _ *packet.Key) { s.fromHost(h, inner) },
		Executed: s.recordExecution,
	}
	if len(v.Speeds) > 0 {
		h.Speed = v.Speeds[n%len(v.Speeds)]
	}
	s.Hosts = append(s.Hosts, h)
	s.hostsByAddress[h.Address.Addr()] = h
	s.Inventory.Hosts = append(s.Inventory.Hosts, inventory.Host{
		Name: h.Name, Service: v.Name, AvailabilityZone: h.Zone, Address: h.Address, Weight: 1,
		Slots: inventory.DefaultSlots, Connections: inventory.DefaultConnections,
	})
}

func (s *Site) addCallers(n int, g CallerGroup, addresses map[string]netip.AddrPort) {
	p := g.Plan
	// The second byte of a source address identifies the caller group; toCaller reads it.
	p.Source4, p.Addresses = netip.AddrFrom4([4]byte{100, byte(64 + n), 0, 1}), 50
	p.Token = fmt.Sprintf("group-%d", n)
	p.Services, p.MaxRetries = nil, s.Config.MaxRetries
	for _, name := range g.Services {
		p.Services = append(p.Services, addresses[name])
	}
	c := &caller.Caller{Plan: p, Random: rand.New(rand.NewPCG(s.Config.Seed, 0xca11<<16|uint64(n)))}
	c.Emit = func(inner []byte) { s.fromCaller(g.Zone, inner) }
	c.Ended = s.recordOutcome
	s.Callers = append(s.Callers, c)
}

// tick runs the ticks of hosts and callers and schedules the next one.
func (s *Site) tick() {
	for _, h := range s.Hosts {
		h.Tick(s.Now)
		if h.StopWhenIdle && h.Mode.Kind != backend.ModeDead && h.Snapshot(s.Now).OpenConnections == 0 {
			h.SetMode(s.Now, backend.Mode{Kind: backend.ModeDead})
		}
	}
	for _, c := range s.Callers {
		c.Tick(s.Now)
	}
	s.After(s.Config.Tick, s.tick)
}

// Host returns the host with the name, or nil.
func (s *Site) Host(name string) *Host {
	for _, h := range s.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}
