package registry

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticspar/masticspar/internal/history"
)

// DefaultGracePeriod is how long a lapsed lifetime receives new flows, which gives its server the time to be listed
// again after an outage of the store.
const DefaultGracePeriod = 2200 * time.Millisecond

// DefaultRetention is how long a lifetime is kept after it is gone.
const DefaultRetention = 90 * time.Second

// Host is one start of a backend server, as listed in the registry.
type Host struct {
	// Name identifies the server. It may stay the same after a restart.
	Name string `cbor:"1,keyasint"`
	// Number is the numeric form of the name in datagrams to the server.
	Number uint64 `cbor:"2,keyasint"`
	// Service is the name of the service that the server offers.
	Service string `cbor:"3,keyasint"`
	// Address is where the server receives the packets of flows. It may be reused by another server later.
	Address netip.AddrPort `cbor:"4,keyasint"`
	// AvailabilityZone is the availability zone in which the server runs.
	AvailabilityZone string `cbor:"5,keyasint"`
	// Slots is the number of requests that the server processes concurrently.
	Slots int `cbor:"6,keyasint"`
	// Leaving reports whether the server is shutting down and must not receive new flows.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Cold is the remaining time in which the server is slow after its start.
	Cold time.Duration `cbor:"8,keyasint,omitempty"`
	// Started is the start time in Unix milliseconds by the server's clock, which may have been set back since an earlier
	// start.
	Started int64 `cbor:"9,keyasint"`
	// Sequence is the number of the report of this start that the entry is from.
	Sequence int64 `cbor:"10,keyasint,omitempty"`
}

// Target is a service that receives a share of the flows of a route.
type Target struct {
	// Service is the name of the service.
	Service string `cbor:"1,keyasint"`
	// Weight is the share of flows relative to the other targets.
	Weight float64 `cbor:"2,keyasint"`
}

// Route assigns the flows of one address to services.
type Route struct {
	// Name is the name of the route.
	Name string `cbor:"1,keyasint"`
	// Address is the address and port that callers connect to.
	Address netip.AddrPort `cbor:"2,keyasint"`
	// Targets are the services of the route; there is at least one.
	Targets []Target `cbor:"3,keyasint"`
	// Idempotent reports whether callers may retry a request after any failure.
	Idempotent bool `cbor:"4,keyasint,omitempty"`
	// TargetLatency is the response time that callers expect.
	TargetLatency time.Duration `cbor:"5,keyasint,omitempty"`
	// Timeout is the time after which callers give up.
	Timeout time.Duration `cbor:"6,keyasint,omitempty"`
	// Priority is the rank of the route's requests under overload; 0 is the highest.
	Priority int `cbor:"7,keyasint,omitempty"`
}

// ColdLimit bounds the flows to servers of a service that have just started.
type ColdLimit struct {
	// Service is the name of the service.
	Service string `cbor:"1,keyasint"`
	// Rate is the number of new flows per second that all entry VMs together may send to one cold server.
	Rate float64 `cbor:"2,keyasint"`
	// WarmUp is how long a server is cold after its start.
	WarmUp time.Duration `cbor:"3,keyasint"`
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	// Version increases with each change; 0 means that there is no configuration.
	Version uint64 `cbor:"1,keyasint"`
	// Routes are all routes of the configuration.
	Routes []Route `cbor:"2,keyasint"`
	// Services are the names of the services. Servers of other services are not used; an empty list allows all services.
	Services []string `cbor:"3,keyasint,omitempty"`
	// ColdLimits are the services whose cold servers have a limit.
	ColdLimits []ColdLimit `cbor:"4,keyasint,omitempty"`
}

// ColdLimit returns the limit of a service; its Rate is 0 if there is none.
func (c *Configuration) ColdLimit(service string) ColdLimit {
	for _, l := range c.ColdLimits {
		if l.Service == service {
			return l
		}
	}
	return ColdLimit{}
}

// Change is a change of one server's entry, of the evacuation of an availability zone, or of the configuration.
type Change struct {
	// Name is the name of the server; empty for an evacuation and for a configuration.
	Name string `cbor:"1,keyasint,omitempty"`
	// Era is the era of the store in which the change was read.
	Era uint64 `cbor:"6,keyasint,omitempty"`
	// Revision is the store revision of the change, which orders the changes of a server in one era.
	Revision uint64 `cbor:"2,keyasint"`
	// Created is the revision at which the entry of the server was created.
	Created uint64 `cbor:"5,keyasint,omitempty"`
	// Host is the new entry of the server; nil if the entry was removed or cannot be used.
	Host *Host `cbor:"3,keyasint,omitempty"`
	// Configuration is the new configuration; nil for a change of a server.
	Configuration *Configuration `cbor:"-"`
	// Fault is the reason why an entry cannot be used; empty for removed and usable entries.
	Fault string `cbor:"4,keyasint,omitempty"`
	// Zone is the availability zone of an evacuation; empty for other changes.
	Zone string `cbor:"7,keyasint,omitempty"`
	// Evacuated reports whether the operators request the evacuation of Zone.
	Evacuated bool `cbor:"8,keyasint,omitempty"`
}

// position returns the position of the change in the store.
func (c *Change) position() history.Position {
	return history.Position{Era: c.Era, Revision: c.Revision}
}

// State is the state of a lifetime as seen by this entry VM.
type State uint8

// States of a lifetime. Only lifetimes in StateReady and StateLapsed receive new flows.
const (
	StateReady State = iota
	StateLeaving
	StateLapsed // the entry was removed during an outage of the store
	StateGone
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"ready", "leaving", "lapsed", "gone"}[s]
}

// Lifetime is one start of a backend server and its state as seen by this entry VM.
type Lifetime struct {
	Host
	// Token identifies the lifetime in packets; 0 if another lifetime has the same token.
	Token uint32
	// State is the current state.
	State State
	// Since is the time of the last change of State. ExtendGracePeriod resets it for lapsed lifetimes.
	Since time.Duration
	// FirstSeen is the time at which this entry VM first received the lifetime.
	FirstSeen time.Duration
	// ColdUntil is the time until which the server is slow after its start.
	ColdUntil time.Duration
	// First is the position at which the lifetime was first listed, in the latest era in which it was listed.
	First history.Position
	// Replaced reports whether the server has ended and nothing answers for it, because a later lifetime has its name or its
	// address. It is cleared if the server is listed after that one is gone.
	Replaced bool
	// Removed reports whether the entry was removed while the store was available, and has not been listed again. The
	// server may still run if it cannot reach the store.
	Removed bool

	// Last is the position of the last change that listed the lifetime.
	Last history.Position

	listed        bool          // whether it is in Registry.services
	returnedUntil time.Duration // it is cold until then after the end of an evacuation, whatever its reports tell
}

// Registry is the current state of the registry. The zero value is empty and ready for use.
type Registry struct {
	// GracePeriod is how long a lapsed lifetime receives new flows; 0 selects DefaultGracePeriod.
	GracePeriod time.Duration
	// Retention is how long a lifetime is kept after it is gone; 0 selects DefaultRetention.
	Retention time.Duration
	// Changed is called after each change of the state of a lifetime, with the previous state; it may be nil.
	Changed func(now time.Duration, l *Lifetime, before State)
	// OnReplaced is called when a lifetime counts as replaced by a later one of its name or its address; it may be nil.
	OnReplaced func(former, later *Lifetime)
	// Forgotten is called when a retired lifetime and its token are removed; it may be nil.
	Forgotten func(token uint32)
	// ConfigurationChanged is called after a new configuration has come into force; it may be nil.
	ConfigurationChanged func()
	// EvacuationChanged is called when the evacuation of an availability zone starts or ends; it may be nil.
	EvacuationChanged func(now time.Duration, zone string, evacuated bool)

	config     Configuration
	routes     map[netip.AddrPort]*Route
	names      map[string]*Lifetime // current lifetime of each name
	tokens     map[uint32]*Lifetime
	addresses  map[netip.AddrPort]*Lifetime // lifetime to which each address is assigned
	services   map[string][]*Lifetime       // lifetimes that receive new flows, by service, in all zones
	available  map[string][]*Lifetime       // the same outside evacuated zones, as far as requested; nil is outdated
	zones      map[string]*evacuation       // by availability zone
	positions  map[string]history.Position  // position of the last change of each name
	unassigned map[string]Change            // listed servers whose service is not in the configuration
	deferred   map[string]*deferredChange   // listed servers whose reports may be outdated, by name
	base       history.Position             // of the first full read in its era; later changes are not from a copy
	retired    map[*Lifetime]struct{}       // lapsed and gone lifetimes, which Sweep checks
}

// NewToken returns the token of a lifetime. It is never 0, because packets without a token carry 0.
func NewToken(name string, started int64) uint32 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(started))
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	if t := uint32(d.Sum64()); t != 0 {
		return t
	}
	return 1
}

// Version returns the version of the active configuration; 0 means that there is none.
func (r *Registry) Version() uint64 { return r.config.Version }

// Configuration returns the active configuration. The caller must not modify it.
func (r *Registry) Configuration() Configuration { return r.config }

// Changes returns the listed servers as changes. A server whose last report may be outdated has two, of which the later
// one in the list is that report. Cold times are those that remain.
func (r *Registry) Changes(now time.Duration) []Change {
	var list []Change
	for name, l := range r.names {
		if l.State == StateReady || l.State == StateLeaving && l.Leaving {
			h := l.Host
			h.Cold = max(0, l.ColdUntil-now)
			at := r.positions[name]
			list = append(list, Change{Name: name, Era: at.Era, Revision: at.Revision, Created: l.First.Revision, Host: &h})
		}
	}
	for _, c := range r.unassigned {
		list = append(list, c)
	}
	for _, d := range r.deferred {
		list = append(list, d.Change)
	}
	return list
}

// Route returns the route of an address, or nil.
func (r *Registry) Route(a netip.AddrPort) *Route { return r.routes[a] }

// Lifetime returns the lifetime with the given token, or nil.
func (r *Registry) Lifetime(token uint32) *Lifetime { return r.tokens[token] }

// Each calls f for each lifetime that has a token, in no particular order.
func (r *Registry) Each(f func(*Lifetime)) {
	for _, l := range r.tokens {
		f(l)
	}
}

// Complete reports whether there is a configuration and at least one server that receives new flows.
func (r *Registry) Complete() bool { return r.config.Version > 0 && len(r.services) > 0 }

// Apply applies a change and reports whether it altered the registry. storeDown reports whether the store is, or was
// recently, unavailable. In that case, a ready lifetime lapses when its entry is removed, instead of being gone.
func (r *Registry) Apply(now time.Duration, c Change, storeDown bool) bool {
	if c.Configuration != nil {
		return r.applyConfiguration(now, c.Configuration)
	}
	if c.Zone != "" {
		return r.applyEvacuation(now, &c)
	}
	if c.Name == "" || c.position().Compare(r.positions[c.Name]) < 0 { // A later change was already applied.
		return false
	}
	if r.positions == nil {
		r.positions = map[string]history.Position{}
	}
	r.positions[c.Name] = c.position()
	delete(r.unassigned, c.Name)
	if c.Host != nil && !r.usableService(c.Host.Service) {
		// An entry of an unknown service must not claim the address of a server in use, whoever wrote it.
		if r.unassigned == nil {
			r.unassigned = map[string]Change{}
		}
		r.unassigned[c.Name] = c
		c.Host, c.Fault = nil, FaultUnknownService
	}
	if c.Host != nil {
		changed := r.list(now, &c)
		return r.applyDeferred(now) || changed
	}
	_, wasDeferred := r.deferred[c.Name]
	delete(r.deferred, c.Name)
	l := r.names[c.Name]
	if l == nil {
		if c.Fault == "" {
			delete(r.positions, c.Name)
		}
		return false
	}
	if c.Fault == "" && storeDown && l.State == StateReady {
		return r.setState(now, l, StateLapsed)
	}
	if l.State == StateLapsed && (storeDown || !wasDeferred) {
		return false // Sweep ends the grace period.
	}
	l.Removed = c.Fault == "" && !storeDown
	changed := r.setState(now, l, StateGone)
	return r.applyDeferred(now) || changed
}

// Replace applies a full read of the servers at a position. Servers that are not in changes are treated as removed, as
// in Apply.
func (r *Registry) Replace(now time.Duration, changes []Change, at history.Position, storeDown bool) {
	named := make(map[string]bool, len(changes))
	for _, c := range changes {
		if c.Name != "" {
			named[c.Name] = true
		}
		r.Apply(now, c, storeDown)
	}
	for name := range r.unassigned {
		if !named[name] {
			delete(r.unassigned, name)
		}
	}
	for name := range r.deferred {
		if !named[name] {
			delete(r.deferred, name)
		}
	}
	if at.Era > r.base.Era {
		r.base = at
	}
	for name := range r.names {
		if !named[name] {
			r.Apply(now, Change{Name: name, Era: at.Era, Revision: at.Revision}, storeDown)
		}
	}
	for name := range r.positions {
		if !named[name] && r.names[name] == nil { // Its entry was never usable.
			delete(r.positions, name)
		}
	}
	r.endMissingEvacuations(now, changes, at, storeDown)
}

// Sweep ends expired grace periods and lapsed evacuations and removes lifetimes that have been gone for longer than the retention.
func (r *Registry) Sweep(now time.Duration) {
	gracePeriod, retention := r.GracePeriod, r.Retention
	if gracePeriod == 0 {
		gracePeriod = DefaultGracePeriod
	}
	if retention == 0 {
		retention = DefaultRetention
	}
	for l := range r.retired {
		switch {
		case l.State == StateLapsed && now-l.Since >= gracePeriod:
			r.setState(now, l, StateGone)
		case l.State == StateGone && now-l.Since >= retention && r.deferred[l.Name] == nil:
			r.forget(l)
		}
	}
	r.applyDeferred(now)
	r.sweepEvacuations(now)
}

func (r *Registry) forget(l *Lifetime) {
	delete(r.retired, l)
	if l.Token != 0 {
		delete(r.tokens, l.Token)
		if r.Forgotten != nil {
			r.Forgotten(l.Token)
		}
	}
	if r.names[l.Name] == l {
		delete(r.names, l.Name)
		delete(r.positions, l.Name)
	}
	r.releaseAddress(l)
}

// releaseAddress removes the assignment of the address of l, if l has it.
func (r *Registry) releaseAddress(l *Lifetime) {
	if r.addresses[l.Address] == l {
		delete(r.addresses, l.Address)
	}
}

// ExtendGracePeriod restarts the grace period of all lapsed lifetimes. It is called at the end of each outage of the
// store, so that their servers have the whole grace period to be listed again.
func (r *Registry) ExtendGracePeriod(now time.Duration) {
	for _, l := range r.names {
		if l.State == StateLapsed {
			l.Since = now
		}
	}
}

// FaultUnknownService is the fault of an entry whose service is not in the configuration.
const FaultUnknownService = "service"

// usableService reports whether the configuration allows servers of the service.
func (r *Registry) usableService(service string) bool {
	return len(r.config.Services) == 0 || slices.Contains(r.config.Services, service)
}

func (r *Registry) applyConfiguration(now time.Duration, c *Configuration) bool {
	if c.Version <= r.config.Version {
		return false
	}
	r.config = *c
	for _, c := range r.unassigned {
		if r.usableService(c.Host.Service) {
			r.Apply(now, c, false)
		}
	}
	r.routes = make(map[netip.AddrPort]*Route, len(c.Routes))
	for i := range c.Routes {
		r.routes[c.Routes[i].Address] = &c.Routes[i]
	}
	if r.ConfigurationChanged != nil {
		r.ConfigurationChanged()
	}
	return true
}

func (r *Registry) initMaps() {
	if r.names == nil {
		r.names, r.tokens = map[string]*Lifetime{}, map[uint32]*Lifetime{}
		r.addresses, r.services = map[netip.AddrPort]*Lifetime{}, map[string][]*Lifetime{}
		r.retired = map[*Lifetime]struct{}{}
	}
}

// add creates the lifetime of a listed server in StateGone, or returns the one that has been created before. If two
// lifetimes have the same token, the first keeps it and the other receives no flows.
func (r *Registry) add(now time.Duration, c *Change) *Lifetime {
	h := c.Host
	token := NewToken(h.Name, h.Started)
	for _, l := range []*Lifetime{r.tokens[token], r.names[h.Name]} {
		if l != nil && l.Name == h.Name && l.Started == h.Started {
			return l
		}
	}
	l := &Lifetime{
		Host: *h, Token: token, State: StateGone, Since: now, FirstSeen: now, First: r.first(c), Last: c.position(),
	}
	if r.tokens[l.Token] != nil {
		l.Token = 0
	} else {
		r.tokens[l.Token] = l
	}
	r.retired[l] = struct{}{}
	return l
}

// setState sets the state of l and reports whether it changed. A replaced lifetime can only become gone.
func (r *Registry) setState(now time.Duration, l *Lifetime, s State) bool {
	before := l.State
	if before == s || l.Replaced && s != StateGone {
		return false
	}
	l.State, l.Since = s, now
	if s == StateLapsed || s == StateGone {
		r.retired[l] = struct{}{}
	} else {
		delete(r.retired, l)
	}
	r.updateListing(l)
	if r.Changed != nil {
		r.Changed(now, l, before)
	}
	return true
}

// updateListing adds l to the servers of its service that receive new flows, or removes it, according to its state.
func (r *Registry) updateListing(l *Lifetime) {
	if l.Token == 0 || l.State != StateReady && l.State != StateLapsed {
		r.unlist(l)
	} else if !l.listed {
		r.services[l.Service], l.listed = append(r.services[l.Service], l), true
		r.available = nil
	}
}

func (r *Registry) unlist(l *Lifetime) {
	if !l.listed {
		return
	}
	l.listed = false
	r.available = nil
	list := r.services[l.Service]
	i := slices.Index(list, l)
	r.services[l.Service] = slices.Delete(list, i, i+1)
	if len(r.services[l.Service]) == 0 {
		delete(r.services, l.Service)
	}
}
