package main

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/announce"
	"github.com/masticspar/masticspar/internal/bootstrap"
	"github.com/masticspar/masticspar/internal/cleanup"
	"github.com/masticspar/masticspar/internal/coldstart"
	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/dsr"
	dsrsettings "github.com/masticspar/masticspar/internal/dsr/settings"
	"github.com/masticspar/masticspar/internal/fabric"
	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/loadreport"
	"github.com/masticspar/masticspar/internal/lookup"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/replica"
	"github.com/masticspar/masticspar/internal/snapshot"
)

// Kinds of datagrams between entry VMs. The kind is the first byte of a datagram.
const (
	kindMembership byte = iota + 1
	kindAnnouncement
	kindLookup
	kindBootstrap
	kindLoadReport
)

// maxSources is the maximum number of entry VMs that are queried for a snapshot or a token at a time.
const maxSources = 3

// localSources is the number of entry VMs of the own availability zone that are queried for a snapshot; one may be
// stopping.
const localSources = 2

// crossZoneRounds is the number of ping rounds of which one goes to another availability zone. Traffic between zones is
// charged for, and a few members of other zones suffice as contacts, because announcements stay in the zone.
const crossZoneRounds = 5

// sizeUnit is the value of size 1 in membership messages, which carry sizes as integers.
const sizeUnit = 1000

// peers exchanges membership, announcements and lookups with other entry VMs. The mutex of the daemon serializes all
// calls.
type peers struct {
	list      member.List
	group     announce.Group
	resolver  lookup.Resolver
	bootstrap bootstrap.Agent
	loads     loadreport.Exchange
	actions   chan bootstrap.Action // what the replica has to do at the start
	socket    *fabric.Socket
	counters  *counter.Set
	log       *zap.Logger
	now       func() time.Duration
	out       []byte // datagram that is being sent; the buffer is reused

	// The member that announced the newest configuration, and its version.
	configurationSource  netip.AddrPort
	configurationVersion uint64

	setEntryVMs func(n int) // is called with the number of active entry VMs

	stateSource netip.AddrPort // the member that announced the latest era of the store

	cold      *coldstart.Limiter
	unreached map[netip.AddrPort]struct{} // contacts that have not been members yet
}

func newPeers(
	s *dsrsettings.Settings, cold *coldstart.Limiter, counters *counter.Set, log *zap.Logger, now func() time.Duration,
) *peers {
	// The agent decides at most twice: to fetch the state, and to read the store after a failure.
	p := &peers{
		counters: counters, log: log, now: now, actions: make(chan bootstrap.Action, 2), cold: cold,
		unreached: map[netip.AddrPort]struct{}{},
	}
	for _, a := range contacts(s) {
		if a != s.PeerAddress {
			p.unreached[a] = struct{}{}
		}
	}
	started := time.Now()
	p.list = member.List{
		Self: member.Member{
			Name: s.Name, Zone: s.AvailabilityZone, Region: s.Region, Size: uint32(max(1, s.Size*sizeUnit)),
			Control: s.PeerAddress, Data: s.DataAddress, Incarnation: uint64(started.UnixMilli()),
		},
		CrossZoneRounds: crossZoneRounds, Seed: uint64(started.UnixNano()),
		Send: p.sendMembership, Changed: p.handleMemberChange, Counters: counters, Logger: log,
	}
	p.group = announce.Group{
		Self: s.Name, AvailabilityZone: s.AvailabilityZone, Bound: s.Bound(), Send: p.sendAnnouncement,
	}
	p.loads = loadreport.Exchange{
		Self: s.Name, AvailabilityZone: s.AvailabilityZone, Seed: p.list.Seed, Send: p.sendLoadReport, Counters: counters,
	}
	p.bootstrap = bootstrap.Agent{
		Address: s.PeerAddress, AvailabilityZone: s.AvailabilityZone, Size: p.list.Self.Size, Seed: p.list.Seed,
		Contacts: contacts(s),
		Members:  p.bootstrapSources, Send: p.sendBootstrap, Decide: func(a bootstrap.Action) { p.actions <- a },
	}
	return p
}

// contacts returns the contacts of the settings with the port of the own peer address. The settings list them with
// another port.
func contacts(s *dsrsettings.Settings) []netip.AddrPort {
	var list []netip.AddrPort
	for _, c := range s.Contacts {
		list = append(list, netip.AddrPortFrom(c.Addr(), s.PeerAddress.Port()))
	}
	return list
}

func (p *peers) sendMembership(to member.Member, m member.Message) {
	b, err := member.Encode(m)
	p.send(to.Control, kindMembership, b, err)
}

func (p *peers) sendAnnouncement(to []member.Member, m *announce.Message) {
	b, err := announce.Encode(m)
	for _, vm := range to {
		p.send(vm.Control, kindAnnouncement, b, err)
	}
}

func (p *peers) sendLookup(to netip.AddrPort, m *lookup.Message) {
	m.From = p.list.Self.Control
	b, err := lookup.Encode(m)
	p.send(to, kindLookup, b, err)
}

func (p *peers) send(to netip.AddrPort, kind byte, b []byte, err error) {
	if err != nil {
		p.counters.Add("messages-not-encoded", 1)
		p.log.Error("message-not-encoded", zap.Error(err))
		return
	}
	p.out = append(append(p.out[:0], kind), b...)
	p.counters.Add("peer-bytes-sent", int64(len(p.out)))
	p.socket.Send(to, p.out, 0, p.now())
}

func (p *peers) handleMemberChange(m member.Member) {
	p.counters.Add("member-"+m.State.String(), 1)
	p.log.Info("member-state", zap.String("member", m.Name), zap.Stringer("state", m.State),
		zap.Uint64("incarnation", m.Incarnation))
	delete(p.unreached, m.Control)
	if m.State == member.StateLeaving {
		p.cold.Leave(p.now(), m.Name)
	}
	p.setMembers()
	p.setColdMembers(p.now())
}

func (p *peers) setMembers() {
	active := p.list.Active()
	p.group.SetMembers(active)
	p.loads.SetMembers(active)
	p.setEntryVMs(len(active))
}

// setColdMembers passes the active members of all availability zones to the limiter of cold servers.
func (p *peers) setColdMembers(now time.Duration) {
	var names []string
	for _, m := range p.list.Active() {
		names = append(names, m.Name)
	}
	p.cold.Unreached = len(p.unreached)
	p.cold.SetMembers(now, names)
}

// startPeers opens the socket for other entry VMs. Without a peer address in the settings there are none.
func (d *dsrDaemon) startPeers() (func(), error) {
	s := d.settings
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.Cold.Self = s.Name
	if !s.PeerAddress.IsValid() {
		d.engine.Cold.SetMembers(d.timer.Now(), nil)
		return func() {}, nil
	}
	p := newPeers(s, &d.engine.Cold, d.counters, d.log, d.timer.Now)
	p.setEntryVMs = func(n int) { d.engine.EntryVMs = n }
	socket, stop, err := fabric.New(s.PeerAddress, d.counters, d.handlePeerDatagrams)
	if err != nil {
		return nil, errors.Annotate(err, "peer-address")
	}
	var undo cleanup.Stack
	undo.Add(stop)
	p.resolver = lookup.Resolver{Query: d.queryPeers, Find: d.engine.Registry.Record}
	p.socket, d.peers = socket, p
	p.list.Start(d.timer.Now(), contacts(s))
	p.group.Start(d.timer.Now(), len(s.Contacts) == 0)
	p.setMembers()
	d.connectLoadReports()
	undo.Add(d.timer.Subscribe(dsr.TickPeriod, func(now time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		p.list.Tick(now)
		p.group.Tick(now)
		p.resolver.Tick(now)
		p.bootstrap.Tick(now)
		p.loads.Tick(now)
		p.socket.Flush()
	}))
	undo.Add(d.timer.OnPause(func(now, _ time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		p.list.Resume(now)
		p.cold.Resume(now)
	}))
	stopSnapshots, err := snapshot.Serve(s.PeerAddress, snapshot.Source{Snapshot: d.snapshot, Configuration: d.configuration})
	if err != nil {
		undo.Run()
		return nil, err
	}
	undo.Add(stopSnapshots)
	return undo.Run, nil
}

// snapshot returns the state of the registry for other entry VMs, or nil while the daemon starts or the registry is
// incomplete. A snapshot with a limited age starts another process, so its configuration must match its revision.
func (d *dsrDaemon) snapshot(maxAge time.Duration) *snapshot.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.engine.Registry
	if d.replica == nil || !r.Complete() {
		return nil
	}
	at, age, consistent := d.replica.Position(), d.age(), d.replica.Consistent()
	if maxAge > 0 && (!consistent || age > maxAge) {
		return nil
	}
	return &snapshot.Snapshot{
		Era: at.Era, Revision: at.Revision, Servers: r.Changes(d.timer.Now()), Configuration: r.Configuration(),
		Evacuations: r.Evacuations(), Confirmed: consistent, Age: age,
	}
}

// configuration returns the active configuration.
func (d *dsrDaemon) configuration() registry.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.Registry.Configuration()
}

// fetchSnapshot fetches a snapshot from other entry VMs, one after the other, and returns the first that succeeds. It
// prefers those with the changes that were announced here. If this entry VM has a complete state, the snapshot is
// younger. The announcer itself is not preferred: the requests of a whole zone would fill the link of a small VM.
func (d *dsrDaemon) fetchSnapshot(ctx context.Context) (replica.Page, error) {
	err := errors.New("fetch snapshot: no other entry VM available")
	d.mu.Lock()
	sources := d.sources(localSources)
	maxAge, complete := d.replica.Age()
	announced := d.openings.announcement.position
	d.mu.Unlock()
	if complete {
		maxAge = max(maxAge, time.Millisecond)
	} else {
		maxAge = 0
	}
	for _, least := range []history.Position{announced, {}} {
		for _, address := range sources {
			var s *snapshot.Snapshot
			if s, err = snapshot.Fetch(ctx, address, maxAge, least); err == nil {
				return d.newPage(address, s), nil
			}
		}
		if announced == (history.Position{}) {
			break
		}
	}
	return replica.Page{}, errors.Trace(err)
}

// fetchState fetches the snapshot of the entry VM that announced a later era of the store.
func (d *dsrDaemon) fetchState(ctx context.Context) (replica.Page, error) {
	d.mu.Lock()
	source := d.peers.stateSource
	d.mu.Unlock()
	if !source.IsValid() {
		return replica.Page{}, errors.New("no entry VM announced a later era")
	}
	s, err := snapshot.Fetch(ctx, source, 0, history.Position{})
	if err != nil {
		d.log.Info("state-source-failed", zap.Stringer("source", source), zap.Error(err))
		return replica.Page{}, errors.Trace(err)
	}
	return d.newPage(source, s), nil
}

// newPage logs the snapshot of another entry VM and returns it as a page for the replica.
func (d *dsrDaemon) newPage(source netip.AddrPort, s *snapshot.Snapshot) replica.Page {
	d.log.Info("picture-of-peer", zap.Stringer("source", source), zap.Uint64("era", s.Era), zap.Uint64("revision", s.Revision),
		zap.Uint64("version", s.Configuration.Version), zap.Int("servers", len(s.Servers)))
	p := replica.Page{Changes: s.Changes(), Era: s.Era, Revision: s.Revision}
	if s.Confirmed {
		p.ConfirmedAt = max(0, d.timer.Now()-s.Age)
	}
	return p
}

// sources returns up to maxSources entry VMs in random order: at most one of each other availability zone, after up to
// local ones of the own zone. A new process without members uses its contacts.
func (d *dsrDaemon) sources(local int) []netip.AddrPort {
	if d.peers == nil {
		return nil
	}
	members := d.peers.list.Active()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	left := map[string]int{d.settings.AvailabilityZone: local}
	var list []netip.AddrPort
	for _, m := range members {
		if _, ok := left[m.Zone]; !ok {
			left[m.Zone] = 1
		}
		if m.Name == d.settings.Name || left[m.Zone] == 0 {
			continue
		}
		left[m.Zone]--
		if m.Zone == d.settings.AvailabilityZone {
			list = slices.Insert(list, 0, m.Control)
		} else {
			list = append(list, m.Control)
		}
	}
	if len(list) == 0 {
		list = slices.DeleteFunc(contacts(d.settings), func(a netip.AddrPort) bool { return a == d.settings.PeerAddress })
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return list[:min(len(list), maxSources)]
}

func (d *dsrDaemon) handlePeerDatagrams(batch []fabric.Datagram) {
	d.timer.Check()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil || d.replica == nil {
		return // The daemon is still starting.
	}
	for i := range batch {
		if err := d.handlePeerDatagram(batch[i].Bytes); err != nil {
			d.counters.Add("messages-refused", 1)
			d.log.Warn("message-refused", zap.Stringer("source", batch[i].Source), zap.Error(err))
		}
	}
	d.peers.socket.Flush()
}

func (d *dsrDaemon) handlePeerDatagram(b []byte) error {
	defer d.contain("message", b)
	if len(b) == 0 {
		return errors.New("empty datagram")
	}
	now := d.timer.Now()
	switch b[0] {
	case kindMembership:
		m, err := member.Decode(b[1:])
		if err != nil {
			return err
		}
		d.peers.list.Handle(now, m.From.Name, m)
	case kindAnnouncement:
		m, err := announce.Decode(b[1:])
		if err != nil {
			return err
		}
		d.handleAnnouncement(now, m)
	case kindLookup:
		m, err := lookup.Decode(b[1:])
		if err != nil {
			return err
		}
		d.handleLookup(now, m)
	case kindBootstrap:
		m, err := bootstrap.Decode(b[1:])
		if err != nil {
			return err
		}
		d.peers.bootstrap.Handle(now, m)
	case kindLoadReport:
		return d.handleLoadReport(now, b[1:])
	default:
		return errors.Errorf("unknown datagram kind %d", b[0])
	}
	return nil
}

// handleAnnouncement applies an announcement, and starts a read of the store when the announcement requires one.
func (d *dsrDaemon) handleAnnouncement(now time.Duration, m *announce.Message) {
	at := d.replica.Position()
	if m.Era < at.Era {
		d.counters.Add("announcements-outdated", 1)
		d.log.Info("announcement-outdated", zap.String("source", m.From), zap.Uint64("era", m.Era),
			zap.Uint64("revision", m.Revision), zap.Uint64("own-era", at.Era), zap.Uint64("own-revision", at.Revision))
	}
	a := d.peers.group.Handle(now, m, at, d.engine.Registry.Version())
	d.openings.announcement = announcement{source: m.From, position: history.Position{Era: m.Era, Revision: m.Revision}, at: now}
	if a.NeedsState {
		if vm, ok := d.peers.list.Get(m.From); ok {
			d.peers.stateSource = vm.Control
		}
		d.replica.FetchState(m.Era)
	}
	for _, c := range a.Apply {
		d.engine.Registry.Apply(now, c, d.replica.StoreDown())
	}
	if len(a.Apply) > 0 {
		d.retryHeld(now)
	}
	if a.Position != (history.Position{}) {
		d.replica.Advance(a.Position)
		d.counters.Add("announcements-applied", 1)
	}
	d.confirm()
	if a.NeedsRead {
		d.counters.Add("store-retry-announcement-gap", 1)
		d.replica.CatchUp()
	}
	if a.NeedsConfiguration {
		if vm, ok := d.peers.list.Get(m.From); ok {
			d.peers.configurationSource, d.peers.configurationVersion = vm.Control, m.Version
		}
		d.replica.Resync(true)
	}
}

// queryPeers queries other entry VMs for the servers of tokens.
func (d *dsrDaemon) queryPeers(m *lookup.Message) {
	d.counters.Add("lookup-tokens-asked", int64(len(m.Tokens)))
	for _, to := range d.sources(1) {
		d.peers.sendLookup(to, m)
	}
}

// handleLookup replies to a query of another entry VM, and records the retired servers of a reply.
func (d *dsrDaemon) handleLookup(now time.Duration, m *lookup.Message) {
	for _, reply := range d.peers.resolver.Replies(m) {
		d.peers.sendLookup(m.From, reply)
	}
	learned := false
	for i := range m.Servers {
		record := &m.Servers[i]
		if d.engine.Registry.AddRetired(now, record) {
			learned = true
			d.counters.Add("lookup-tokens-learned", 1)
			d.log.Info("former-server-learned", zap.String("host", record.Host.Name),
				zap.Int64("started", record.Host.Started), zap.Stringer("address", record.Host.Address),
				zap.Bool("replaced", record.Replaced), zap.Stringer("source", m.From))
		}
	}
	if learned {
		d.retryHeld(now)
	}
}
