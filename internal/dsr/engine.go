package dsr

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticspar/masticspar/internal/coldstart"
	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/overload"
	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/registry"
)

const (
	// TickPeriod is the time between two calls of Tick.
	TickPeriod = 100 * time.Millisecond
	// retransmitDelay is the time after a SYN within which a repeated SYN goes to the same server. Callers retransmit
	// after 200 ms; an earlier repetition means that packets were queued at this entry VM.
	retransmitDelay = 150 * time.Millisecond
	// attemptRetention is how long new flows of a caller avoid the servers of its previous unanswered attempts.
	attemptRetention = time.Second
	// maxAttempts is the maximum number of attempts that are kept for each caller.
	maxAttempts = 8
	// retryDelay is the time after a late response within which a new flow of its caller is another attempt of the same
	// request. Callers make it within milliseconds.
	retryDelay = 20 * time.Millisecond
)

// Action is what the entry VM does with a packet.
type Action uint8

// Actions.
const (
	Drop Action = iota
	Forward
	Reset
	Hold // until the registry changes
)

// Reasons for resets, drops and holds, in addition to those of package placement.
const (
	ReasonNoRoute         = "no-route"
	ReasonNoConfiguration = "no-picture"
	ReasonUnknownToken    = "unknown-token"
	ReasonLateSYN         = "late-syn"
	ReasonHostRemoved     = "host-removed"
	ReasonHostSilent      = "host-silent"
	ReasonHostReplaced    = "host-replaced"
	ReasonOutdated        = "outdated"   // SYN while this entry VM lacks changes that others have, near the end of the bound
	ReasonEvacuated       = "evacuated"  // SYN of a route whose servers are all in evacuated zones
	ReasonColdLimit       = "cold-limit" // SYN of a route whose servers are all cold and must not be used now
	ReasonResuming        = "waking"     // SYN that arrives shortly after a pause of the process
)

// Verdict is the decision about a packet.
type Verdict struct {
	Action Action
	// Host is the server that receives a forwarded packet, with its token in the packet. It is nil for a packet that is
	// dropped or held, and for a SYN that is reset.
	Host *registry.Lifetime
	// Reason is why a packet is dropped or held, or why its flow is reset; empty for a forwarded packet.
	Reason string
	// Retried reports whether the packet is a retransmitted SYN for which a server was chosen again.
	Retried bool
	// Overload is set if the gate refused the SYN.
	Overload *Refusal
}

// Refusal is why the gate refused a SYN.
type Refusal struct {
	overload.Request
	// InFlight is the number of requests in flight that counted, and Limit the limit for them.
	InFlight, Limit float64
}

// Engine decides about the packets that reach one entry VM. The zero value has no configuration and holds SYNs; Start
// must be called before use.
type Engine struct {
	// Registry holds the servers and routes.
	Registry registry.Registry
	// Placement chooses the servers of new flows.
	Placement placement.Model
	// Gate refuses new flows of an overloaded service.
	Gate overload.Gate
	// Cold bounds the SYNs to servers that have just started, for services with a limit.
	Cold coldstart.Limiter
	// Flows tracks the flows and reports their events to Placement and Gate.
	Flows conntrack.Table

	// EntryVMs is the number of active entry VMs; 0 if it is unknown.
	EntryVMs int

	attempts map[netip.Addr][]attempt           // by caller address, oldest first
	late     map[callerRoute]lateResponse       // last late response
	caller   callerRoute                        // of the packet that is handled
	classes  map[netip.AddrPort]conntrack.Class // by address of the route
	path     path
	usable   []*registry.Lifetime // reused by usableHosts

	listed   bool               // whether a server was listed
	listedAt time.Duration      // when the first server was listed
	ended    *registry.Lifetime // the last lifetime that ended; it may start again under its name
}

// Start connects Registry, Placement and Flows. It must be called once, after the functions of Registry are set.
func (e *Engine) Start() {
	e.Registry.Forgotten = func(token uint32) {
		e.Placement.Forget(token)
		e.Cold.Forget(token)
	}
	changed := e.Registry.Changed
	e.Registry.Changed = func(now time.Duration, l *registry.Lifetime, before registry.State) {
		// A server that is listed again must not stay suspected because of packets that it did not answer before.
		if l.State == registry.StateReady && (before == registry.StateGone || before == registry.StateLapsed) {
			e.Placement.ClearSuspicion(now, l.Token)
		}
		if changed != nil {
			changed(now, l, before)
		}
	}
	e.startPaces()
	e.Flows.Observe = func(now time.Duration, ev flowevent.Event) {
		e.path.observe(now, ev)
		e.Placement.Observe(now, ev)
		e.recordLateResponse(now, ev)
		if l := e.Registry.Lifetime(ev.Host); l != nil {
			e.Gate.Observe(now, l.Service, ev)
		}
	}
	e.Flows.Classify = func(address netip.AddrPort) conntrack.Class { return e.classes[address] }
	e.Registry.ConfigurationChanged = func() {
		e.classes = classify(e.Registry.Configuration().Routes)
		e.Flows.Reclassify()
		e.Gate.Reset()
	}
}

// HandlePacket returns the decision about a packet from a caller.
func (e *Engine) HandlePacket(now time.Duration, p *conntrack.Packet) Verdict {
	e.caller = callerRoute{p.Caller.Addr(), p.Service}
	if p.SYN {
		return e.handleSYN(now, p)
	}
	l := e.Registry.Lifetime(p.Token)
	if l == nil {
		return Verdict{Action: Hold, Reason: ReasonUnknownToken}
	}
	retransmitted := e.Flows.HandlePacket(now, p, l.Token)
	if p.RST {
		return Verdict{Action: Forward, Host: l}
	}
	if l.Replaced {
		e.Flows.Forget(now, p.Key)
		return Verdict{Action: Reset, Host: l, Reason: ReasonHostReplaced}
	}
	if retransmitted {
		if reason := e.lossReason(now, p, l); reason != "" {
			e.Flows.Forget(now, p.Key)
			return Verdict{Action: Reset, Host: l, Reason: reason}
		}
	}
	return Verdict{Action: Forward, Host: l}
}

func (e *Engine) handleSYN(now time.Duration, p *conntrack.Packet) Verdict {
	if e.Registry.Version() == 0 {
		return Verdict{Action: Hold, Reason: ReasonNoConfiguration}
	}
	r := e.Registry.Route(p.Service)
	if r == nil {
		return Verdict{Action: Reset, Reason: ReasonNoRoute}
	}
	hash := flowHash(p.Key)
	tried := e.unansweredHosts(now, p.Caller.Addr())
	f := e.Flows.Get(p.Key)
	if f != nil && f.Precedes(p) {
		e.Flows.Forget(now, p.Key)
		f = nil
	}
	if f != nil {
		if f.Open {
			return Verdict{Reason: ReasonLateSYN}
		}
		if now-f.SYNSent < retransmitDelay {
			if l := e.Registry.Lifetime(f.Host); l != nil {
				rate := e.coldRate(now, l)
				if rate > 0 && !e.Cold.Allow(now, l.Token, rate) {
					return Verdict{Reason: ReasonColdLimit} // The server has the SYN already.
				}
				e.recordCold(now, l)
				return Verdict{Action: Forward, Host: l}
			}
		}
		tried = append(append(tried, f.Tried...), f.Host)
	}
	service := targetService(r, hash)
	if f == nil {
		tried = e.observeRetry(now, r, tried)
	}
	service = e.retriedService(r, service, tried)
	hosts := e.Registry.Hosts(service)
	usable := e.usableHosts(now, service, hosts)
	choice := e.Placement.Pick(now, usable,
		placement.Flow{Hash: hash, TargetLatency: r.TargetLatency, Urgent: e.classes[p.Service].Urgent, Tried: tried})
	if choice.Host == nil {
		if len(hosts) > 0 {
			if f != nil { // The server that received the SYN before may still open the flow.
				return Verdict{Reason: ReasonColdLimit}
			}
			choice.Reason = ReasonColdLimit
		} else if e.Registry.HasEvacuatedHosts(service) {
			choice.Reason = ReasonEvacuated
		}
		return Verdict{Action: Reset, Reason: choice.Reason}
	}
	if refusal := e.refusal(now, p, r, &choice); refusal != nil {
		return Verdict{Action: Reset, Reason: overload.ReasonOverload, Overload: refusal}
	}
	e.recordCold(now, choice.Host)
	e.Flows.Open(now, p, choice.Host.Token)
	e.recordAttempt(now, p, choice.Host.Token)
	return Verdict{Action: Forward, Host: choice.Host, Retried: f != nil}
}

// refusal asks the gate about the first SYN of a flow, and returns nil if it is admitted. A retransmitted SYN is not
// refused, because a server that received the SYN before may still open the flow. Callers count retransmissions in the
// acknowledgement number of the SYN, which also tells about those that passed another entry VM. Table forgets a SYN that was
// not repeated for 300 ms, but the second retransmission follows 400 ms after the first, so the attempts count as well.
func (e *Engine) refusal(now time.Duration, p *conntrack.Packet, r *registry.Route, c *placement.Choice) *Refusal {
	forwarded := func(a attempt) bool { return a.key == p.Key }
	if !c.Overloaded || p.Acknowledged > 0 || e.Flows.Get(p.Key) != nil ||
		slices.ContainsFunc(e.attempts[p.Caller.Addr()], forwarded) {
		return nil
	}
	request := overload.Request{
		Service: c.Host.Service, Caller: p.Caller.Addr(), Priority: r.Priority, Urgent: e.classes[p.Service].Urgent,
		TargetLatency: r.TargetLatency, Expected: c.Expected, Known: c.Known, Overloaded: c.Overloaded,
		Slots: e.slots(c.Host.Service),
	}
	inFlight, limit := e.Gate.Limit(now, request)
	if ok, _ := e.Gate.Admit(now, request); ok {
		return nil
	}
	return &Refusal{Request: request, InFlight: inFlight, Limit: limit}
}

// slots returns the number of requests that the servers of a service process at a time, for each entry VM; 0 if the
// number of entry VMs is unknown.
func (e *Engine) slots(service string) float64 {
	if e.EntryVMs == 0 {
		return 0
	}
	n := 0
	for _, l := range e.Registry.Hosts(service) {
		n += l.Slots
	}
	return float64(n) / float64(e.EntryVMs)
}

// attempt is a recent SYN of a caller.
type attempt struct {
	key  conntrack.Key
	host uint32 // token of the server
	at   time.Duration
}

// unansweredHosts returns the tokens of the servers that recently received a SYN of the caller without a later packet
// on that flow. A server whose process has ended refuses flows immediately, and the caller retries immediately from a
// new port.
func (e *Engine) unansweredHosts(now time.Duration, caller netip.Addr) []uint32 {
	var hosts []uint32
	for _, a := range e.attempts[caller] {
		if f := e.Flows.Get(a.key); now-a.at < attemptRetention && (f == nil || !f.Open) {
			hosts = append(hosts, a.host)
		}
	}
	return hosts
}

func (e *Engine) recordAttempt(now time.Duration, p *conntrack.Packet, host uint32) {
	if e.attempts == nil {
		e.attempts = map[netip.Addr][]attempt{}
	}
	list := e.attempts[p.Caller.Addr()]
	if len(list) == maxAttempts {
		list = list[1:]
	}
	e.attempts[p.Caller.Addr()] = append(list, attempt{key: p.Key, host: host, at: now})
}

// callerRoute is a caller and the address of the route that it uses.
type callerRoute struct {
	caller  netip.Addr
	service netip.AddrPort
}

// lateResponse is a response that took longer than half of the target latency.
type lateResponse struct {
	host uint32 // token of the server
	at   time.Duration
}

func (e *Engine) recordLateResponse(now time.Duration, ev flowevent.Event) {
	if ev.Kind != flowevent.Answered || ev.TargetLatency == 0 || ev.Elapsed <= ev.TargetLatency/2 {
		return
	}
	if e.late == nil {
		e.late = map[callerRoute]lateResponse{}
	}
	e.late[e.caller] = lateResponse{ev.Host, now}
}

// observeRetry observes that a server with a full queue has refused a request if the caller of a new flow makes another
// attempt of it, to the same route. While the server's service is overloaded, it is added to the servers that the flow
// avoids.
func (e *Engine) observeRetry(now time.Duration, r *registry.Route, tried []uint32) []uint32 {
	late, ok := e.late[e.caller]
	if !ok {
		return tried
	}
	delete(e.late, e.caller)
	if now-late.at >= retryDelay {
		return tried
	}
	e.Flows.Observe(now, flowevent.Event{
		Kind: flowevent.Retried, Host: late.host, Priority: r.Priority, Urgent: e.classes[r.Address].Urgent,
		TargetLatency: r.TargetLatency,
	})
	if l := e.Registry.Lifetime(late.host); l != nil && e.Placement.Overloaded(l.Service) {
		tried = append(tried, late.host)
	}
	return tried
}

// retriedService returns the service of a flow. While the service of the last server that the caller has tried is
// overloaded and has servers, the flow stays at that service, because the other services of a split route would
// otherwise receive retries in addition to their share.
func (e *Engine) retriedService(r *registry.Route, service string, tried []uint32) string {
	if len(r.Targets) == 1 || len(tried) == 0 {
		return service
	}
	l := e.Registry.Lifetime(tried[len(tried)-1])
	if l != nil && e.Placement.Overloaded(l.Service) && len(e.Registry.Hosts(l.Service)) > 0 &&
		slices.ContainsFunc(r.Targets, func(t registry.Target) bool { return t.Service == l.Service }) {
		return l.Service
	}
	return service
}

// expireAttempts removes the callers whose last attempt or late response is no longer evidence.
func (e *Engine) expireAttempts(now time.Duration) {
	for caller, list := range e.attempts {
		if now-list[len(list)-1].at >= attemptRetention {
			delete(e.attempts, caller)
		}
	}
	for caller, r := range e.late {
		if now-r.at >= retryDelay {
			delete(e.late, caller)
		}
	}
}

// Tick expires entries of the registry, the flow table, the gate and the attempts. It is called every TickPeriod.
func (e *Engine) Tick(now time.Duration) {
	e.Registry.Sweep(now)
	e.Flows.Sweep(now)
	e.Gate.Tick(now)
	e.expireAttempts(now)
	e.Placement.Tick(now)
}

// targetService returns the service of a flow. All entry VMs choose the same service for the same flow.
func targetService(r *registry.Route, hash uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	// The lower 32 bits of the hash select the target. Package placement mixes all bits to select a server, so the two
	// choices are independent.
	x := float64(hash%(1<<32)) / (1 << 32) * sum
	for _, t := range r.Targets {
		if x -= t.Weight; x < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

func flowHash(k conntrack.Key) uint64 {
	var b [36]byte
	caller, service := k.Caller.Addr().As16(), k.Service.Addr().As16()
	copy(b[:], caller[:])
	copy(b[16:], service[:])
	binary.BigEndian.PutUint16(b[32:], k.Caller.Port())
	binary.BigEndian.PutUint16(b[34:], k.Service.Port())
	return xxhash.Sum64(b[:])
}
