package capacity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/standin/network"
)

// The bench is an event-driven queueing model in virtual time. Entry VMs of unequal size select hosts for Poisson
// arrivals. Each host serves requests in order of arrival, in two slots with exponential service times.

const (
	benchSlots  = 2
	benchDelay  = time.Millisecond // network delay in one direction
	benchWarmUp = 60               // seconds
)

// Policies to compare; policyTrue and policyLearned run the same selection code.
const (
	policyLearned      = "learned"
	policyTrue         = "true capacity"
	policyHash         = "equal-weight hash"
	policyLeastFlows   = "least flows by own counts"
	policyShortestWait = "shortest expected wait"
)

var (
	vmSizes = []float64{1, 1, 1, 1.5, 1.5, 2, 2, 2}
	epoch   = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

type server struct {
	speed                 float64
	unresponsive, refuses bool
	refusedShare          float64 // share of the flows that the host refuses
	busy                  int
	waiting               []func()
	served, flows         int // completions and new flows in the current measurement
}

type bench struct {
	network.Clock
	policy        string
	rng           *rand.Rand
	service       *fleet.Service
	servers       []*server
	vms           []*Model
	load          float64       // load as a share of the true capacity at the start
	serviceTime   time.Duration // service time at speed 1
	rate          float64       // flows/s
	responseTimes []time.Duration
	refusals      map[string]int
	port          uint32
	onSecond      func(second int) // called once a second after the tick of the first VM
	offline       map[int]bool     // VMs whose reports are lost
}

func newBench(policy string, seed uint64, hosts int, change func(*fleet.Host)) *bench {
	b := &bench{
		policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), refusals: map[string]int{},
		load: 0.85, serviceTime: 80 * time.Millisecond,
		service: &fleet.Service{ID: 1, Name: "standdesk", Protocol: packet.TCP, WarmUp: 120 * time.Second},
	}
	for i := range hosts {
		h := &fleet.Host{
			ID: uint32(i + 1), Name: fmt.Sprintf("host-%02d", i), Weight: 1, Slots: benchSlots, Connections: 2000,
			Started: epoch.Add(-time.Hour),
		}
		if change != nil {
			change(h)
		}
		b.service.Hosts = append(b.service.Hosts, h)
		b.servers = append(b.servers, &server{speed: 1 + 3*float64(i)/float64(max(1, hosts-1))})
	}
	var owners []Owner
	for i, size := range vmSizes {
		owners = append(owners, Owner{Name: fmt.Sprintf("vm-%d", i), Size: size})
	}
	for _, o := range owners {
		m := &Model{Self: o.Name, Incarnation: 1, Epoch: epoch}
		m.Configure(0, []Assignment{{Service: b.service, Owners: owners}})
		b.vms = append(b.vms, m)
	}
	return b
}

func (b *bench) exponential(mean time.Duration) time.Duration {
	return time.Duration(b.rng.ExpFloat64() * float64(mean))
}

// capacity returns the true capacity of a host in requests/s, zero for a host that is unresponsive or refuses.
func (b *bench) capacity(i int) float64 {
	if b.servers[i].unresponsive || b.servers[i].refuses {
		return 0
	}
	return benchSlots * b.servers[i].speed / b.serviceTime.Seconds()
}

func (b *bench) total() float64 {
	sum := 0.0
	for i := range b.servers {
		sum += b.capacity(i)
	}
	return sum
}

// run advances the bench by the given number of seconds and measures only them.
func (b *bench) run(seconds int) {
	if b.Now() == 0 {
		b.rate = b.load * b.total()
		b.After(0, b.arrive)
		for i := range b.vms { // Ticks of the VMs are not aligned.
			b.Every(time.Duration(i)*117*time.Millisecond+time.Second, time.Second, func() { b.tick(i) })
		}
	}
	b.responseTimes = b.responseTimes[:0]
	clear(b.refusals)
	for _, s := range b.servers {
		s.served, s.flows = 0, 0
	}
	b.Advance(time.Duration(seconds) * time.Second)
}

func (b *bench) tick(i int) {
	report, m := b.vms[i].Report(b.Now()), b.vms[i]
	for j, peer := range b.vms {
		if j != i && !b.offline[i] && !b.offline[j] {
			b.After(benchDelay, func() { peer.Merge(b.Now(), m.Self, m.FilterReport(report, peer.Self)) })
		}
	}
	m.Tick(b.Now())
	if b.policy == policyTrue {
		for k, h := range m.services[1].hosts {
			h.weight, m.services[1].learned = b.capacity(k), true
		}
	}
	if i == 0 && b.onSecond != nil {
		b.onSecond(int(b.Now() / time.Second))
	}
}

func (b *bench) arrive() {
	b.After(b.exponential(time.Duration(float64(time.Second)/b.rate)), b.arrive)
	u, vm := b.rng.Float64(), 0
	for total := totalSize(b.vms[0].services[1].owners, ""); u > vmSizes[vm]/total; vm++ {
		u -= vmSizes[vm] / total
	}
	b.port++
	caller := netip.AddrFrom4([4]byte{10, byte(b.port >> 24), byte(b.port >> 16), 1})
	key := packet.NewKey(packet.TCP, netip.AddrPortFrom(caller, uint16(b.port)),
		netip.MustParseAddrPort("198.51.100.1:443"))
	b.open(vm, &key, b.Now(), 0)
}

// open opens a flow. A refused flow is retried once on another host.
func (b *bench) open(vm int, key *packet.Key, since time.Duration, avoid uint32) {
	h, refusal := b.pick(vm, key, avoid)
	if h == nil {
		b.refusals[refusal]++
		return
	}
	m, s := b.vms[vm], b.servers[h.ID-1]
	s.flows++
	observe := func(kind flowevent.Kind, elapsed time.Duration) {
		m.Observe(b.Now(), flowevent.Event{Kind: kind, Service: 1, Host: h.ID, Elapsed: elapsed})
	}
	observe(flowevent.Opened, 0)
	b.After(2*benchDelay, func() {
		if s.refuses || s.refusedShare > 0 && b.rng.Float64() < s.refusedShare {
			observe(flowevent.Refused, 0)
			observe(flowevent.Closed, 0)
			if avoid == 0 {
				b.open(vm, key, since, h.ID)
			}
			return
		}
		observe(flowevent.Accepted, 2*benchDelay)
		observe(flowevent.Requested, 0)
		sent := b.Now()
		b.After(benchDelay, func() {
			b.enqueue(s, func() {
				b.After(benchDelay, func() {
					observe(flowevent.Answered, b.Now()-sent)
					observe(flowevent.Closed, 0)
					b.responseTimes = append(b.responseTimes, b.Now()-since)
				})
			})
		})
	})
}

func (b *bench) enqueue(s *server, done func()) {
	if s.unresponsive || s.busy == benchSlots {
		s.waiting = append(s.waiting, done)
		return
	}
	s.busy++
	b.After(b.exponential(time.Duration(float64(b.serviceTime)/s.speed)), func() {
		s.busy--
		s.served++
		done()
		if len(s.waiting) > 0 && !s.unresponsive {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			b.enqueue(s, next)
		}
	})
}
