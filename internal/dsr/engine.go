package dsr

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/registry"
)

const (
	// TickPeriod is the time between two calls of Tick.
	TickPeriod = 100 * time.Millisecond
	// retransmitDelay is how long after its SYN a flow stays with its server. Callers send copies after 200 ms; an earlier
	// one means that packets waited here.
	retransmitDelay = 150 * time.Millisecond
	// attemptRetention is how long a caller's new flow avoids the servers of its former tries.
	attemptRetention = time.Second
	// maxAttempts bounds the tries that are kept for each caller.
	maxAttempts = 8
)

// Action is what is to be done with a packet.
type Action uint8

// Actions.
const (
	Drop Action = iota
	Forward
	Reset
	Hold // until the picture changes
)

// Reasons of resets, drops and holds besides those of placement.
const (
	ReasonNoRoute         = "no-route"
	ReasonNoConfiguration = "no-picture"
	ReasonUnknownToken    = "unknown-token"
	ReasonLateSYN         = "late-syn"
	ReasonHostDead        = "host-dead"
	ReasonHostReplaced    = "host-replaced"
	ReasonResuming        = "waking"
)

// Verdict is the decision about a packet.
type Verdict struct {
	// Action is what is to be done.
	Action Action
	// Host gets a packet that is forwarded; its token goes into the packet.
	Host *registry.Lifetime
	// Reason says why a packet is dropped or held or its flow reset.
	Reason string
	// Retried says that an earlier SYN of the flow went to another server.
	Retried bool
}

// Engine decides about the packets that reach one entry VM; the zero value waits for a picture.
type Engine struct {
	// Registry is the picture of servers and routes.
	Registry registry.Registry
	// Placement chooses servers.
	Placement placement.Model
	// Flows observes the flows.
	Flows conntrack.Table

	attempts map[netip.Addr][]attempt // by caller, oldest first
}

// Start connects the parts; it is called once.
func (e *Engine) Start() {
	e.Registry.Forgotten = e.Placement.Forget
	changed := e.Registry.Changed
	e.Registry.Changed = func(now time.Duration, l *registry.Lifetime, before registry.State) {
		if l.State == registry.StateReady && (before == registry.StateGone || before == registry.StateLapsed) {
			e.Placement.ClearSuspicion(now, l.Token)
		}
		if changed != nil {
			changed(now, l, before)
		}
	}
	e.Flows.Observe = func(now time.Duration, ev flowevent.Event) { e.Placement.Observe(now, ev) }
}

// HandlePacket decides about a packet of a caller.
func (e *Engine) HandlePacket(now time.Duration, p *conntrack.Packet) Verdict {
	if p.SYN {
		return e.handleSYN(now, p)
	}
	l := e.Registry.Lifetime(p.Token)
	if l == nil {
		return Verdict{Action: Hold, Reason: ReasonUnknownToken}
	}
	repeated := e.Flows.HandlePacket(now, p, l.Token)
	if p.RST {
		return Verdict{Action: Forward, Host: l}
	}
	if l.Replaced {
		e.Flows.Forget(now, p.Key)
		return Verdict{Action: Reset, Host: l, Reason: ReasonHostReplaced}
	}
	// A caller may try an idempotent request again. Others wait for the answer that may still come.
	if p.Length > 0 && e.Placement.Dead(now, l.Token) && (repeated || !e.Placement.AllowProbe(now, l.Token)) {
		if r := e.Registry.Route(p.Service); r != nil && r.Idempotent {
			e.Flows.Forget(now, p.Key)
			return Verdict{Action: Reset, Host: l, Reason: ReasonHostDead}
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
	if f != nil {
		if f.Open {
			return Verdict{Reason: ReasonLateSYN}
		}
		if now-f.SYNSent < retransmitDelay {
			if l := e.Registry.Lifetime(f.Host); l != nil {
				return Verdict{Action: Forward, Host: l}
			}
		}
		tried = append(append(tried, f.Tried...), f.Host)
	}
	l, reason := e.Placement.Pick(now, e.Registry.Hosts(targetService(r, hash)), placement.Flow{Hash: hash, TargetLatency: r.TargetLatency, Tried: tried})
	if l == nil {
		return Verdict{Action: Reset, Reason: reason}
	}
	e.Flows.Open(now, p.Key, l.Token)
	e.recordAttempt(now, p, l.Token)
	return Verdict{Action: Forward, Host: l, Retried: f != nil}
}

// attempt is a SYN that a caller sent lately.
type attempt struct {
	key  conntrack.Key
	host uint32
	at   time.Duration
}

// unansweredHosts returns the servers that got a SYN of the caller lately and that it has not gone on with. A server whose
// process ended refuses flows at once, and the caller tries again at once from a new port.
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

// expireAttempts drops attempts that say nothing any more.
func (e *Engine) expireAttempts(now time.Duration) {
	for caller, list := range e.attempts {
		if now-list[len(list)-1].at >= attemptRetention {
			delete(e.attempts, caller)
		}
	}
}

// Tick does what is due.
func (e *Engine) Tick(now time.Duration) {
	e.Registry.Sweep(now)
	e.Flows.Sweep(now)
	e.expireAttempts(now)
}

// targetService returns the targetService of a flow. The same flow gets the same one at every entry VM.
func targetService(r *registry.Route, hash uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	// The lower bits of the hash, because placement mixes all of them.
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
