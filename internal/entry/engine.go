package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/admission"
	"github.com/masticspar/masticspar/internal/capacity"
	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/docsync"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flow"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/packet"
)

// Kind is the kind of a message between entry VMs; it decides which messages are dropped first when the control budget
// is used up.
type Kind uint8

// Kinds of messages.
const (
	Membership Kind = iota + 1
	Configuration
	Report
	Hint
)

// SizeUnit is the size of a member that stands for a VM of size 1.
const SizeUnit = 100

// Engine is one entry VM; its exported fields are set before Start.
type Engine struct {
	// Self is this process as other entry VMs see it.
	Self member.Member
	// Epoch is the wall-clock time of the time zero of the timer service.
	Epoch time.Time
	// Seed makes random choices reproducible.
	Seed uint64
	// Contacts are control addresses of other entry VMs to join through.
	Contacts []netip.AddrPort
	// MTU is the greatest size of a caller's IP packet in bytes.
	MTU int
	// FlowCapacity is the greatest number of pins.
	FlowCapacity int
	// ToFabric sends a datagram to the fabric.
	ToFabric func(datagram []byte, hash uint64)
	// ToHost sends a datagram to a backend server.
	ToHost func(to netip.AddrPort, datagram []byte, hash uint64)
	// ToPeer sends a datagram to the data address of another entry VM.
	ToPeer func(to netip.AddrPort, datagram []byte, hash uint64)
	// Send sends a message to another entry VM; a member without a name is only an address.
	Send func(to member.Member, kind Kind, body []byte)
	// Counters counts drops, refusals and retries by reason.
	Counters *counter.Set
	// Choose replaces the choice of a host for a new flow, for policies to compare with; nil selects the learned
	// capacities.
	Choose func(s *fleet.Service, avoid []uint32, figures []capacity.HostStats) (*fleet.Host, string)
	// TrueCapacity gives the true capacity of a host in requests/s in place of the learned one; nil learns it.
	TrueCapacity func(host string) float64
	// Logger receives one line for each event; nil discards them.
	Logger *zap.Logger

	catalog  fleet.Catalog
	syncer   docsync.Syncer
	members  member.List
	flows    flow.Table
	model    capacity.Model
	gate     admission.Gate
	groups   groups
	hints    hintQueue
	handOver handOver
	due      schedule
	peerData map[netip.Addr]bool
	figures  map[uint32]*hostFigures
	choices  []capacity.HostStats

	now     time.Duration
	stale   bool
	leaving bool
	codec   geneve.Codec
	view    packet.Packet
	made    packet.Packet // the packet of the flow table that is being sent
	queue   queue
	out     []byte
	dropped map[string]metrics.Counter
	counted map[string]metrics.Counter
}

// Start connects the packages and begins to join the fleet.
func (e *Engine) Start(now time.Duration) {
	e.now = now
	if e.Logger == nil {
		e.Logger = zap.NewNop()
	}
	e.view.MTU = e.MTU
	e.figures = map[uint32]*hostFigures{}
	e.dropped, e.counted = map[string]metrics.Counter{}, map[string]metrics.Counter{}
	e.catalog.Counters = e.Counters
	e.catalog.Now = func() time.Duration { return e.now }
	e.startModel()
	e.startFlows()
	e.startSyncer(now)
	e.startMembers(now)
	e.stale = true // Until the first exchange with a contact, or 3 s without one.
}

func (e *Engine) startModel() {
	e.model.Self = e.Self.Name
	e.model.Incarnation = e.Self.Incarnation
	e.model.Epoch = e.Epoch
	e.model.TrueCapacity = e.TrueCapacity
}

func (e *Engine) startFlows() {
	e.flows.Capacity = e.FlowCapacity
	e.gate.Flows = e.FlowCapacity
	e.flows.Pick = e.pick
	e.flows.Rank = func(s *fleet.Service, k *packet.Key, out []*fleet.Host) []*fleet.Host {
		return e.model.Rank(s, k, out)
	}
	e.flows.AllowRetry = e.gate.AllowRetry
	e.flows.AllowProbe = e.gate.AllowProbe
	e.flows.Observe = func(now time.Duration, ev flowevent.Event) {
		e.model.Observe(now, ev)
		e.gate.Observe(ev)
		e.observeFigures(ev)
	}
	e.flows.Hint = e.queueHint
	e.flows.Emit = e.emit
}

func (e *Engine) startSyncer(now time.Duration) {
	contacts := make([]string, 0, len(e.Contacts))
	for _, a := range e.Contacts {
		if a != e.Self.Control {
			contacts = append(contacts, a.String())
		}
	}
	e.syncer = docsync.Syncer{
		Catalog: &e.catalog, Send: e.sendConfiguration, Peers: e.peerNames, Contacts: contacts,
		Counters: e.Counters, Changed: e.documentChanged,
	}
	e.syncer.Start(now, e.Seed)
}

func (e *Engine) startMembers(now time.Duration) {
	e.members = member.List{
		Self: e.Self, Seed: e.Seed, Send: e.sendMembership, Changed: e.memberChanged,
		Digests: e.digests, HandleDigests: e.observeDigests, Counters: e.Counters, Logger: e.Logger,
	}
	e.members.Start(now, e.Contacts)
}

// pick chooses the host of a new flow, after fairness between the services.
func (e *Engine) pick(now time.Duration, s *fleet.Service, k *packet.Key, avoid []uint32) (*fleet.Host, string) {
	last := uint32(0)
	if len(avoid) > 0 {
		last = avoid[len(avoid)-1]
	} else if reason := e.gate.Admit(s.ID); reason != "" {
		return nil, reason
	}
	if e.Choose != nil {
		e.choices = e.model.AppendHostStats(s, e.choices[:0])
		return e.Choose(s, avoid, e.choices)
	}
	h, reason := e.model.Pick(now, s, k, last)
	if reason == capacity.ReasonOverload {
		e.gate.Overloaded(now)
	}
	if h == nil || !slices.Contains(avoid, h.ID) {
		return h, reason
	}
	// The model avoids only the last host that was tried; with several silent ones it often returns one of the others.
	for _, h := range e.model.Rank(s, k, nil) {
		if !h.Leaving && !slices.Contains(avoid, h.ID) {
			return h, ""
		}
	}
	return nil, capacity.ReasonNoHost
}

// HandleDocument offers a document that the platform served and reports whether it was put in force. The caller
// prepares it before it takes the lock of the engine, because decoding a large document takes long.
func (e *Engine) HandleDocument(now time.Duration, c *fleet.Candidate) bool {
	e.now = now
	changed, err := e.syncer.HandlePlatformDocument(now, c)
	if err != nil {
		e.Logger.Warn("document-refused", zap.String("source", "platform"), zap.Error(err))
	}
	return changed
}

// Version returns the version in force of a kind of document.
func (e *Engine) Version(kind fleet.Kind) uint64 {
	return e.catalog.Versions().Of(kind).Number
}

// Services returns the services of the configuration in force.
func (e *Engine) Services() []*fleet.Service { return e.catalog.Services() }

// SetPlatformAddresses hands over the addresses in the platform's list of VMs.
func (e *Engine) SetPlatformAddresses(addresses []netip.AddrPort) {
	e.members.SetPlatformAddresses(addresses)
}

// Ready reports whether this entry VM may take new flows.
func (e *Engine) Ready() bool {
	return !e.stale && !e.leaving && len(e.catalog.Services()) > 0
}

// HandlePause tells the engine that the process did not run for gap.
func (e *Engine) HandlePause(now, gap time.Duration) {
	e.now = now
	e.stale = true
	e.Counters.Add("pauses", 1)
	e.Logger.Warn("process-paused", zap.Duration("gap", gap))
	e.members.Resume(now)
	e.syncer.Resume(now)
	e.flows.MarkUnverified()
}

func (e *Engine) documentChanged(now time.Duration, kind fleet.Kind) {
	v := e.catalog.Versions().Of(kind)
	_, source := e.catalog.Accepted(kind)
	e.Logger.Info("document-accepted", zap.Stringer("kind", kind), zap.Uint64("version", v.Number), zap.String("source", source))
	e.configure(now)
}

func (e *Engine) memberChanged(m member.Member) {
	e.Logger.Info("member-changed", zap.String("member", m.Name), zap.Stringer("state", m.State),
		zap.Uint64("incarnation", m.Incarnation))
	e.peerData = make(map[netip.Addr]bool, len(e.peerData)+1)
	for _, known := range e.members.Members() {
		e.peerData[known.Data.Addr()] = true
	}
	if m.State == member.StateDead {
		e.model.Forget(m.Name)
		e.syncer.Forget(e.now, m.Name)
	}
	// The next tick divides the services once for all changes until then. One division takes 22 ms with 167 entry VMs and
	// 1,100 services, so one for each change would hold the lock for seconds when a zone is lost.
}

// configure gives the model the services that this entry VM may own flows of, and starts to hand over pins whose
// owner changed.
func (e *Engine) configure(now time.Duration) {
	owners, generation := e.members.Owners()
	e.groups.update(&e.catalog, owners, generation, e.Self.Name)
	if e.groups.takeChange() {
		e.model.Configure(now, e.groups.assignments())
		e.handOver.restart()
	}
}
