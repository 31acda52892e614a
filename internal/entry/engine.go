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

// Kind is the kind of a message between entry VMs. It decides which messages are dropped first when the control budget
// is used up.
type Kind uint8

// Kinds of messages: member states, documents and their versions, capacity reports, and hints about pins.
const (
	KindMembership Kind = iota + 1
	KindConfiguration
	KindReport
	KindHint
)

// SizeUnit is the value of member.Member.Size for an entry VM whose configured size is 1.
const SizeUnit = 100

// Engine is one entry VM. Its exported fields are set before Start.
type Engine struct {
	// Self is this entry VM as the others see it.
	Self member.Member
	// Epoch is the wall-clock time at which the timer service started.
	Epoch time.Time
	// Seed makes random choices reproducible.
	Seed uint64
	// Contacts are control addresses of other entry VMs through which this one joins them.
	Contacts []netip.AddrPort
	// MTU is the maximum size of a caller's IP packet in bytes.
	MTU int
	// FlowCapacity is the maximum number of pins.
	FlowCapacity int
	// ToFabric is called to send a datagram to the fabric. As for ToHost and ToPeer, hash is that of the flow's key in the
	// caller's direction.
	ToFabric func(datagram []byte, hash uint64)
	// ToHost is called to send a datagram to a backend server.
	ToHost func(to netip.AddrPort, datagram []byte, hash uint64)
	// ToPeer is called to send a datagram to the data address of another entry VM.
	ToPeer func(to netip.AddrPort, datagram []byte, hash uint64)
	// Send is called to send a message to another entry VM. A member without a name is only a control address, one
	// without an address only a name.
	Send func(to member.Member, kind Kind, body []byte)
	// Counters counts drops, refusals and retries by reason.
	Counters *counter.Set
	// Choose replaces the choice of a host for a new flow, so that policies can be compared; nil selects by the learned
	// capacities.
	Choose func(s *fleet.Service, avoid []uint32, stats []capacity.HostStats) (*fleet.Host, string)
	// TrueCapacity returns the true capacity of a host in requests/s, which replaces the learned one; nil selects the
	// learned one.
	TrueCapacity func(host string) float64
	// Logger receives one line for each event; nil discards them.
	Logger *zap.Logger

	catalog      fleet.Catalog
	syncer       docsync.Syncer
	members      member.List
	flows        flow.Table
	model        capacity.Model
	gate         admission.Gate
	groups       groups
	hints        hintQueue
	handOver     handOver
	due          schedule
	peerData     map[netip.Addr]bool         // data addresses of all known entry VMs
	observations map[uint32]*hostObservation // by host ID
	statsBuffer  []capacity.HostStats

	now           time.Duration
	stale         bool // the view has not been refreshed since the start or a pause; all datagrams are dropped
	leaving       bool
	codec         geneve.Codec
	parsed        packet.Packet
	emitted       packet.Packet // the packet from the flow table that is being sent
	queue         queue
	out           []byte
	dropCounters  map[string]metrics.Counter
	eventCounters map[string]metrics.Counter
}

// Start initialises the engine and begins to join the other entry VMs.
func (e *Engine) Start(now time.Duration) {
	e.now = now
	if e.Logger == nil {
		e.Logger = zap.NewNop()
	}
	e.parsed.MTU = e.MTU
	e.observations = map[uint32]*hostObservation{}
	e.dropCounters, e.eventCounters = map[string]metrics.Counter{}, map[string]metrics.Counter{}
	e.catalog.Counters = e.Counters
	e.catalog.Now = func() time.Duration { return e.now }
	e.startModel()
	e.startFlows()
	e.startSyncer(now)
	e.startMembers(now)
	e.stale = true // Until an exchange with a contact, or 3 s without one, and until the syncer is ready.
}

func (e *Engine) startModel() {
	e.model.Self = e.Self.Name
	e.model.Incarnation = e.Self.Incarnation
	e.model.Epoch = e.Epoch
	e.model.TrueCapacity = e.TrueCapacity
}

func (e *Engine) startFlows() {
	e.flows.Capacity = e.FlowCapacity
	e.gate.MaxFlows = e.FlowCapacity
	e.flows.Pick = e.pick
	e.flows.Rank = func(s *fleet.Service, k *packet.Key, out []*fleet.Host) []*fleet.Host {
		return e.model.Rank(s, k, out)
	}
	e.flows.AllowRetry = e.gate.AllowRetry
	e.flows.AllowProbe = e.gate.AllowProbe
	e.flows.Observe = func(now time.Duration, ev flowevent.Event) {
		e.model.Observe(now, ev)
		e.gate.Observe(ev)
		e.observeHost(ev)
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

// pick chooses the host of a new flow. The first attempt of a flow must pass the gate, which keeps a service from
// taking more than its fair share.
func (e *Engine) pick(now time.Duration, s *fleet.Service, k *packet.Key, avoid []uint32) (*fleet.Host, string) {
	last := uint32(0)
	if len(avoid) > 0 {
		last = avoid[len(avoid)-1]
	} else if reason := e.gate.Admit(s.ID); reason != "" {
		return nil, reason
	}
	if e.Choose != nil {
		e.statsBuffer = e.model.AppendHostStats(s, e.statsBuffer[:0])
		return e.Choose(s, avoid, e.statsBuffer)
	}
	h, reason := e.model.Pick(now, s, k, last)
	if reason == capacity.ReasonOverload {
		e.gate.RecordOverload(now)
	}
	if h == nil || !slices.Contains(avoid, h.ID) {
		return h, reason
	}
	// The model avoids only the last host that was tried. With several unresponsive hosts it often returns another one
	// of them.
	for _, h := range e.model.Rank(s, k, nil) {
		if !h.Leaving && !slices.Contains(avoid, h.ID) {
			return h, ""
		}
	}
	return nil, capacity.ReasonNoHost
}

// HandleDocument submits a document that the platform served and reports whether it became active. The caller prepares
// it before it takes the lock of the engine, because decoding a large document takes long.
func (e *Engine) HandleDocument(now time.Duration, c *fleet.Candidate) bool {
	e.now = now
	changed, err := e.syncer.HandlePlatformDocument(now, c)
	if err != nil {
		e.Logger.Warn("document-refused", zap.String("source", "platform"), zap.Error(err))
	}
	return changed
}

// Version returns the active version of a kind of document.
func (e *Engine) Version(kind fleet.Kind) uint64 {
	return e.catalog.Versions().Of(kind).Number
}

// Services returns the services of the active configuration.
func (e *Engine) Services() []*fleet.Service { return e.catalog.Services() }

// SetPlatformAddresses sets the addresses of entry VMs that the platform lists.
func (e *Engine) SetPlatformAddresses(addresses []netip.AddrPort) {
	e.members.SetPlatformAddresses(addresses)
}

// Ready reports whether this entry VM may take new flows.
func (e *Engine) Ready() bool {
	return !e.stale && !e.leaving && len(e.catalog.Services()) > 0
}

// HandlePause handles a pause of the process, which did not run for gap. The engine is stale until its view is
// refreshed.
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
	e.Logger.Info("document-accepted", zap.Stringer("kind", kind),
		zap.Uint64("version", v.Number), zap.String("source", source))
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
	// The next tick assigns the services to owner groups once for all changes until then. One assignment takes 22 ms
	// with 167 entry VMs and 1,100 services, so one for each change would hold the lock for seconds when a zone is
	// lost.
}

// configure passes the services that this entry VM may own flows of to the model, and starts to hand over pins whose
// owner changed.
func (e *Engine) configure(now time.Duration) {
	owners, generation := e.members.Owners()
	e.groups.update(&e.catalog, owners, generation, e.Self.Name)
	if e.groups.takeChange() {
		e.model.Configure(now, e.groups.assignments())
		e.handOver.restart()
	}
}
