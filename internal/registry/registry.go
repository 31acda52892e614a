package registry

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultGracePeriod is the time that a server needs to be listed again after an outage of the store.
const DefaultGracePeriod = 2200 * time.Millisecond

// DefaultRetention is the time for which the token of a former lifetime is known.
const DefaultRetention = 90 * time.Second

// Host is one start of a backend server as the asset register lists it.
type Host struct {
	// Name identifies the server; it may stay the same over a restart.
	Name string `cbor:"1,keyasint"`
	// Number is the form of the name that datagrams to the server carry.
	Number uint64 `cbor:"2,keyasint"`
	// Service is the name of the service that the server offers.
	Service string `cbor:"3,keyasint"`
	// Address receives the packets of flows; another server may get it later.
	Address netip.AddrPort `cbor:"4,keyasint"`
	// AvailabilityZone is where the server runs.
	AvailabilityZone string `cbor:"5,keyasint"`
	// Slots is the number of requests that the server works on at the same time.
	Slots int `cbor:"6,keyasint"`
	// Leaving says that the server shuts down and must get no new flow.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Cold is how much longer the server is slow after its start.
	Cold time.Duration `cbor:"8,keyasint,omitempty"`
	// Started is the time of the start in Unix milliseconds by the server's clock, which may have been set back since an
	// earlier start.
	Started int64 `cbor:"9,keyasint"`
}

// Target is a service that a route sends a part of its flows to.
type Target struct {
	// Service is the name of the service.
	Service string `cbor:"1,keyasint"`
	// Weight is the part relative to the other targets.
	Weight float64 `cbor:"2,keyasint"`
}

// Route sends the flows of one address to services.
type Route struct {
	// Name is the name of the route.
	Name string `cbor:"1,keyasint"`
	// Address is the address and port that callers connect to.
	Address netip.AddrPort `cbor:"2,keyasint"`
	// Targets are the services; at least one.
	Targets []Target `cbor:"3,keyasint"`
	// Idempotent says that callers may repeat a request after any failure.
	Idempotent bool `cbor:"4,keyasint,omitempty"`
	// TargetLatency is the response time that callers expect.
	TargetLatency time.Duration `cbor:"5,keyasint,omitempty"`
	// Timeout is the time after which callers give up.
	Timeout time.Duration `cbor:"6,keyasint,omitempty"`
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	// Version grows with each change.
	Version uint64 `cbor:"1,keyasint"`
	// Routes are all routes in force.
	Routes []Route `cbor:"2,keyasint"`
	// Services are the names of the services; servers of others are not used. Empty allows all.
	Services []string `cbor:"3,keyasint,omitempty"`
}

// Change is one change of the published state.
type Change struct {
	// Name is the server that changed; empty for a configuration.
	Name string `cbor:"1,keyasint,omitempty"`
	// Revision orders the changes of a server.
	Revision uint64 `cbor:"2,keyasint"`
	// Created is the revision at which the entry of the server came into being.
	Created uint64 `cbor:"5,keyasint,omitempty"`
	// Host is the new entry of the server; nil when it has none or one that cannot be used.
	Host *Host `cbor:"3,keyasint,omitempty"`
	// Configuration is a published configuration.
	Configuration *Configuration `cbor:"-"`
	// Fault says why an entry cannot be used; empty for removed and good ones.
	Fault string `cbor:"4,keyasint,omitempty"`
}

// State is what an entry VM believes about a lifetime.
type State uint8

// States of a lifetime. Only StateReady and StateLapsed ones take new flows.
const (
	StateReady State = iota
	StateLeaving
	StateLapsed // the entry vanished while the store was away
	StateGone
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"ready", "leaving", "lapsed", "gone"}[s]
}

// Lifetime is one start of a backend server with what is believed about it.
type Lifetime struct {
	Host
	// Token names the lifetime in packets.
	Token uint32
	// State is the current belief and Since the time of its last change.
	State State
	// Since is when the state changed.
	Since time.Duration
	// FirstSeen is when the lifetime was first listed.
	FirstSeen time.Duration
	// ColdUntil is when the server stops being slow after its start.
	ColdUntil time.Duration
	// FirstRevision is the revision at which the lifetime was first listed; of two at one address the later one has it.
	FirstRevision uint64
	// Replaced says that the server ended for certain: its name or its address has a newer lifetime.
	Replaced bool

	listed bool // among the servers of its service that take new flows
}

// Registry is the current picture; the zero value is empty and ready for use.
type Registry struct {
	// GracePeriod is how long a lapsed lifetime takes new flows; zero selects DefaultGracePeriod.
	GracePeriod time.Duration
	// Retention is how long the token of a former lifetime is known; zero selects DefaultRetention.
	Retention time.Duration
	// Changed is called after each change of belief about a lifetime, with the former state; it may be nil.
	Changed func(now time.Duration, l *Lifetime, before State)
	// Forgotten is called when the token of a former lifetime is known no more; it may be nil.
	Forgotten func(token uint32)

	config     Configuration
	routes     map[netip.AddrPort]*Route
	names      map[string]*Lifetime
	tokens     map[uint32]*Lifetime
	addresses  map[netip.AddrPort]*Lifetime
	services   map[string][]*Lifetime
	revisions  map[string]uint64      // of the last change of each name
	unassigned map[string]Change      // listed servers of services that no configuration names yet
	retired    map[*Lifetime]struct{} // those that Sweep looks at: lapsed and gone ones
}

// NewToken returns the token of a lifetime; it is never 0, which packets carry before they have a token.
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

// Version returns the version of the configuration in force; 0 means none.
func (r *Registry) Version() uint64 { return r.config.Version }

// Configuration returns the configuration in force; the caller must not change it.
func (r *Registry) Configuration() Configuration { return r.config }

// Changes returns the picture as one change for each server that is listed.
func (r *Registry) Changes() []Change {
	var list []Change
	for name, l := range r.names {
		if l.State == StateReady || l.State == StateLeaving {
			h := l.Host
			list = append(list, Change{Name: name, Revision: r.revisions[name], Created: l.FirstRevision, Host: &h})
		}
	}
	return list
}

// Route returns the route of an address or nil.
func (r *Registry) Route(a netip.AddrPort) *Route { return r.routes[a] }

// Lifetime returns the lifetime with the given token or nil.
func (r *Registry) Lifetime(token uint32) *Lifetime { return r.tokens[token] }

// Hosts returns the lifetimes of a service that take new flows. The caller must not change the list, and the next change
// of the picture does.
func (r *Registry) Hosts(service string) []*Lifetime { return r.services[service] }

// Each calls f for each lifetime whose token is known.
func (r *Registry) Each(f func(*Lifetime)) {
	for _, l := range r.tokens {
		f(l)
	}
}

// Complete reports whether the picture can serve callers.
func (r *Registry) Complete() bool { return r.config.Version > 0 && len(r.services) > 0 }

// Apply takes a change. Away says that the store was away within the last moments, so that a removed entry may only
// have lapsed. It reports whether the change altered the picture.
func (r *Registry) Apply(now time.Duration, c Change, storeDown bool) bool {
	if c.Configuration != nil {
		return r.applyConfiguration(now, c.Configuration)
	}
	if c.Name == "" || c.Revision < r.revisions[c.Name] { // A later change came first.
		return false
	}
	if r.revisions == nil {
		r.revisions = map[string]uint64{}
	}
	r.revisions[c.Name] = c.Revision
	delete(r.unassigned, c.Name)
	if c.Host != nil && !r.usableService(c.Host.Service) {
		// Whoever wrote the entry, it must not take the address of a server that is used.
		if r.unassigned == nil {
			r.unassigned = map[string]Change{}
		}
		r.unassigned[c.Name] = c
		c.Host, c.Fault = nil, FaultUnknownService
	}
	if c.Host != nil {
		return r.applyHost(now, &c)
	}
	l := r.names[c.Name]
	if l == nil {
		if c.Fault == "" {
			delete(r.revisions, c.Name)
		}
		return false
	}
	if c.Fault == "" && storeDown && l.State == StateReady {
		return r.setState(now, l, StateLapsed)
	}
	if l.State == StateLapsed {
		return false // Sweep decides.
	}
	return r.setState(now, l, StateGone)
}

// Replace takes a complete reading of the servers at a revision. Servers that it does not name lapsed or are gone, as in
// Apply.
func (r *Registry) Replace(now time.Duration, changes []Change, revision uint64, storeDown bool) {
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
	for name := range r.names {
		if !named[name] {
			r.Apply(now, Change{Name: name, Revision: revision}, storeDown)
		}
	}
	for name := range r.revisions {
		if !named[name] && r.names[name] == nil { // Its entry could never be used.
			delete(r.revisions, name)
		}
	}
}

// Sweep ends the lapse of servers that were not listed again and forgets former lifetimes.
func (r *Registry) Sweep(now time.Duration) {
	lapse, retention := r.GracePeriod, r.Retention
	if lapse == 0 {
		lapse = DefaultGracePeriod
	}
	if retention == 0 {
		retention = DefaultRetention
	}
	for l := range r.retired {
		switch {
		case l.State == StateLapsed && now-l.Since >= lapse:
			r.setState(now, l, StateGone)
		case l.State == StateGone && now-l.Since >= retention:
			r.forget(l)
		}
	}
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
		delete(r.revisions, l.Name)
	}
	r.releaseAddress(l)
}

// releaseAddress gives up the address of l.
func (r *Registry) releaseAddress(l *Lifetime) {
	if r.addresses[l.Address] == l {
		delete(r.addresses, l.Address)
	}
}

// ExtendGracePeriod restarts the lapse of all lapsed servers, while the store is away.
func (r *Registry) ExtendGracePeriod(now time.Duration) {
	for _, l := range r.names {
		if l.State == StateLapsed {
			l.Since = now
		}
	}
}

// FaultUnknownService is the fault of an entry whose service no configuration names.
const FaultUnknownService = "service"

// usableService reports whether servers of the service may be used.
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
	return true
}

func (r *Registry) applyHost(now time.Duration, c *Change) bool {
	r.initMaps()
	h := c.Host
	first := c.Created
	l := r.names[h.Name]
	if l != nil && l.Started != h.Started {
		l.Replaced = true
		r.setState(now, l, StateGone)
		l, first = nil, c.Revision
	}
	if l == nil {
		l = r.add(now, h, max(first, 1))
	}
	moved := l.Address != h.Address || l.Service != h.Service
	if moved {
		r.unlist(l)
		r.releaseAddress(l)
	}
	l.Host = *h
	l.ColdUntil = now + h.Cold
	r.claimAddress(now, l)
	state := StateReady
	if h.Leaving {
		state = StateLeaving
	}
	changed := r.setState(now, l, state)
	r.updateListing(l)
	return changed || moved
}

func (r *Registry) initMaps() {
	if r.names == nil {
		r.names, r.tokens = map[string]*Lifetime{}, map[uint32]*Lifetime{}
		r.addresses, r.services = map[netip.AddrPort]*Lifetime{}, map[string][]*Lifetime{}
		r.retired = map[*Lifetime]struct{}{}
	}
}

// add creates a lifetime, or takes the one that Remember has added. Of two lifetimes with one token the first keeps it; the
// other takes no flows.
func (r *Registry) add(now time.Duration, h *Host, first uint64) *Lifetime {
	if l := r.tokens[NewToken(h.Name, h.Started)]; l != nil && l.Name == h.Name && l.Started == h.Started {
		r.names[h.Name] = l
		return l
	}
	l := &Lifetime{
		Host: *h, Token: NewToken(h.Name, h.Started), State: StateGone, Since: now, FirstSeen: now, FirstRevision: first,
	}
	if r.tokens[l.Token] != nil {
		l.Token = 0
	} else {
		r.tokens[l.Token] = l
	}
	r.names[h.Name] = l
	r.retired[l] = struct{}{}
	return l
}

// claimAddress gives the address of l to the lifetime that was listed there last; the other has ended.
func (r *Registry) claimAddress(now time.Duration, l *Lifetime) {
	other := r.addresses[l.Address]
	if other == l {
		return
	}
	former := other
	if other == nil || other.FirstRevision <= l.FirstRevision {
		r.addresses[l.Address] = l
	} else {
		former = l
	}
	if former != nil {
		former.Replaced = true
		r.setState(now, former, StateGone)
	}
}

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

// updateListing puts l among the servers of its service that take new flows, or takes it off.
func (r *Registry) updateListing(l *Lifetime) {
	if l.Token == 0 || l.State != StateReady && l.State != StateLapsed {
		r.unlist(l)
	} else if !l.listed {
		r.services[l.Service], l.listed = append(r.services[l.Service], l), true
	}
}

func (r *Registry) unlist(l *Lifetime) {
	if !l.listed {
		return
	}
	l.listed = false
	list := r.services[l.Service]
	i := slices.Index(list, l)
	r.services[l.Service] = slices.Delete(list, i, i+1)
	if len(r.services[l.Service]) == 0 {
		delete(r.services, l.Service)
	}
}
