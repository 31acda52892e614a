package docsync

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/fleet"
)

// Bounds in time and number.
const (
	// RequestTimeout is the time after which another peer is asked; a later answer is still used. With 1 s and one
	// message in five lost, some processes needed more than the 6 s in which an update has to be in force.
	RequestTimeout = 500 * time.Millisecond
	// QueryPeriod is the time between two queries during a start or a refresh.
	QueryPeriod = 500 * time.Millisecond
	// ReadyTimeout is the longest time for which a start or a refresh holds back documents of the platform.
	ReadyTimeout = 3 * time.Second
	// Fanout is the number of peers that a new version is announced to.
	Fanout = 3
	// DefaultMaxRequests allows one request for each document; a second one would only fetch the same bytes again.
	DefaultMaxRequests = len(fleet.Kinds)
)

// Most refused versions that are remembered, so that a peer cannot make the memory grow.
const maxRefused = 64

// Syncer keeps the documents of one process in step with its peers. Call Start before anything else.
type Syncer struct {
	// Catalog holds the documents.
	Catalog *fleet.Catalog
	// Send sends a message to a peer or a contact.
	Send func(to string, m Message)
	// Peers returns the names of the members that may be asked.
	Peers func() []string
	// Contacts are the addresses to ask before any peer is known.
	Contacts []string
	// MaxRequests bounds the requests without an answer; zero selects DefaultMaxRequests.
	MaxRequests int
	// Counters counts requests, retries by reason and conflicts; nil counts nothing.
	Counters *counter.Set
	// Changed is called with the kind of each newly accepted document; nil is not called.
	Changed func(now time.Duration, kind fleet.Kind)

	random         *rand.Rand
	ready          bool
	round          uint64
	startedAt      time.Duration
	queriedAt      time.Duration
	digestReceived bool

	advertised  map[string]fleet.Versions
	newest      map[fleet.Kind]uint64 // greatest version that any peer has claimed; such a peer may be gone since
	requests    map[fleet.Kind]request
	requestedAt map[fleet.Kind]map[string]time.Duration
	refused     map[documentVersion]bool
	held        map[fleet.Kind][]*fleet.Candidate
}

type request struct {
	to       string
	deadline time.Duration
}

type documentVersion struct {
	kind    fleet.Kind
	version fleet.Version
}

// Start begins the life of a process: it asks the contacts. Equal seeds make equal choices.
func (s *Syncer) Start(now time.Duration, seed uint64) {
	s.random = rand.New(rand.NewPCG(seed, seed))
	s.advertised = map[string]fleet.Versions{}
	s.newest = map[fleet.Kind]uint64{}
	s.refused = map[documentVersion]bool{}
	s.round = s.random.Uint64() >> 1
	s.Resume(now)
}

// Resume begins a refresh after a pause: it asks contacts and peers as a fresh process does.
func (s *Syncer) Resume(now time.Duration) {
	s.ready, s.digestReceived = false, false
	s.startedAt = now
	s.round++
	s.requests = map[fleet.Kind]request{}
	s.requestedAt = map[fleet.Kind]map[string]time.Duration{}
	for _, kind := range fleet.Kinds {
		s.requestedAt[kind] = map[string]time.Duration{}
	}
	s.held = map[fleet.Kind][]*fleet.Candidate{}
	s.query(now)
}

// Ready reports whether the start or the refresh is over.
func (s *Syncer) Ready() bool { return s.ready }

// Digest returns what pings carry.
func (s *Syncer) Digest() Digest { return Digest{Versions: s.Catalog.Versions(), Ready: s.ready} }

// Tick ends overdue requests and repeats queries; call it several times a second.
func (s *Syncer) Tick(now time.Duration) {
	for _, kind := range fleet.Kinds {
		if r, ok := s.requests[kind]; ok && now >= r.deadline {
			s.Counters.Add("document-retry-deadline-"+kind.String(), 1)
			delete(s.requests, kind)
		}
	}
	if !s.ready && now-s.queriedAt >= QueryPeriod {
		s.query(now)
	}
	s.requestMissing(now)
}

// HandlePlatformDocument takes a document that the platform served and reports whether it was put in force.
func (s *Syncer) HandlePlatformDocument(now time.Duration, c *fleet.Candidate) (bool, error) {
	if s.ready {
		return s.accept(now, c)
	}
	// The platform serves a few documents at most before the bound passes; the last two cover an update meanwhile.
	s.held[c.Kind()] = append(s.held[c.Kind()], c)
	if n := len(s.held[c.Kind()]); n > 2 {
		s.held[c.Kind()] = s.held[c.Kind()][n-2:]
	}
	return false, nil
}

// Handle takes a message from a peer.
func (s *Syncer) Handle(now time.Duration, from string, m Message) {
	switch {
	case m.Query != nil:
		d := s.Digest()
		d.Round = m.Query.Round
		s.Send(from, Message{Digest: &d})
	case m.Digest != nil:
		s.handleDigest(now, from, m.Digest)
	case m.Request != nil:
		d := &Document{Kind: m.Request.Kind}
		if s.Catalog.Versions().Of(d.Kind).Number > m.Request.After {
			if d.Compressed = s.Catalog.Compressed(d.Kind); d.Compressed == nil {
				d.Bytes = s.Catalog.Document(d.Kind)
			}
		}
		s.Send(from, Message{Document: d})
	case m.Document != nil:
		s.handleDocument(now, from, m.Document)
	}
}

// Forget drops what is known about a peer that is dead or has left.
func (s *Syncer) Forget(now time.Duration, peer string) {
	delete(s.advertised, peer)
	for _, kind := range fleet.Kinds {
		delete(s.requestedAt[kind], peer)
		if r, ok := s.requests[kind]; ok && r.to == peer {
			s.Counters.Add("document-retry-gone-"+kind.String(), 1)
			delete(s.requests, kind)
		}
	}
	s.requestMissing(now)
}

func (s *Syncer) query(now time.Duration) {
	s.queriedAt = now
	to := slices.Concat(s.Contacts, s.sample(Fanout))
	for _, name := range to {
		s.Send(name, Message{Query: &Query{Round: s.round}})
	}
}

func (s *Syncer) handleDigest(now time.Duration, from string, d *Digest) {
	s.advertised[from] = d.Versions
	for _, kind := range fleet.Kinds {
		s.newest[kind] = max(s.newest[kind], d.Versions.Of(kind).Number)
		_ = s.Catalog.Compare(kind, from, d.Versions.Of(kind)) // The catalog counts and keeps the refusal.
	}
	// A peer that is itself starting knows no more than this process.
	if d.Round == s.round && d.Ready {
		s.digestReceived = true
	}
	s.requestMissing(now)
}

func (s *Syncer) handleDocument(now time.Duration, from string, d *Document) {
	if !slices.Contains(fleet.Kinds[:], d.Kind) {
		s.Counters.Add("document-refused-unknown-kind", 1)
		return
	}
	// A late answer of a peer that was asked before is still of use, but leaves the present request open.
	if s.requests[d.Kind].to == from {
		delete(s.requests, d.Kind)
	}
	version := s.advertised[from].Of(d.Kind)
	d.prepare(from)
	if d.candidate != nil {
		if _, err := s.accept(now, d.candidate); err != nil && len(s.refused) < maxRefused {
			s.refused[documentVersion{d.Kind, fleet.Version{Number: version.Number, Hash: d.candidate.Hash()}}] = true
		}
	}
	if version.Number > s.Catalog.Versions().Of(d.Kind).Number {
		s.Counters.Add("document-retry-not-served-"+d.Kind.String(), 1)
	}
	s.requestMissing(now)
}

func (s *Syncer) accept(now time.Duration, c *fleet.Candidate) (bool, error) {
	changed, err := s.Catalog.Accept(c)
	if !changed {
		return false, err
	}
	kind := c.Kind()
	clear(s.requestedAt[kind])
	clear(s.refused)
	if s.Changed != nil {
		s.Changed(now, kind)
	}
	d := s.Digest()
	for _, peer := range s.sample(Fanout) {
		s.Send(peer, Message{Digest: &d})
	}
	return true, err
}

// Sends the requests that are due and ends the start or the refresh when nothing is missing.
func (s *Syncer) requestMissing(now time.Duration) {
	bound := cmp.Or(s.MaxRequests, DefaultMaxRequests)
	missing := false
	for _, kind := range fleet.Kinds {
		if _, ok := s.requests[kind]; ok {
			missing = true
			continue
		}
		peer, behind := s.choosePeer(now, kind)
		missing = missing || behind
		if peer == "" || len(s.requests) >= bound {
			continue
		}
		s.requestedAt[kind][peer] = now
		s.requests[kind] = request{to: peer, deadline: now + RequestTimeout}
		s.Counters.Add("document-requested-"+kind.String(), 1)
		s.Send(peer, Message{Request: &Request{Kind: kind, After: s.Catalog.Versions().Of(kind).Number}})
	}
	if !s.ready && (s.digestReceived && !missing || now-s.startedAt >= ReadyTimeout) {
		s.finish(now)
	}
}

func (s *Syncer) finish(now time.Duration) {
	if !s.digestReceived {
		s.Counters.Add("refresh-unanswered", 1)
	}
	s.ready = true
	held := s.held
	s.held = nil
	for _, kind := range fleet.Kinds {
		for _, c := range held[kind] {
			_, _ = s.accept(now, c) // The catalog counts and keeps a refusal.
		}
	}
}

// Returns the peer to ask for a greater version than the one in force, and whether any peer has one. Peers that were
// not asked yet come first, then those with the greatest version, then a random one. A peer is not asked again before
// RequestDeadline passed, so that one that does not serve what it claims is not asked in a loop.
func (s *Syncer) choosePeer(now time.Duration, kind fleet.Kind) (peer string, behind bool) {
	active := s.Catalog.Versions().Of(kind).Number
	// Almost always nobody is ahead. Looking at the claims of 500 peers takes 20 µs, on each message and tick.
	if s.newest[kind] <= active {
		return "", false
	}
	var names []string
	for name, v := range s.advertised {
		if v := v.Of(kind); v.Number > active && !s.refused[documentVersion{kind, v}] {
			names = append(names, name)
		}
	}
	slices.Sort(names) // The order of a map would make the choice depend on more than the seed.
	var best []string
	var greatest uint64
	fresh := false
	for _, name := range names {
		at, requested := s.requestedAt[kind][name]
		if requested && (fresh || now-at < RequestTimeout) {
			continue
		}
		number := s.advertised[name].Of(kind).Number
		if !requested && !fresh || number > greatest {
			best, greatest = nil, number
		}
		fresh = !requested
		if number == greatest {
			best = append(best, name)
		}
	}
	if len(best) == 0 {
		return "", len(names) > 0
	}
	return best[s.random.IntN(len(best))], true
}

// Returns up to n random peers.
func (s *Syncer) sample(n int) []string {
	if s.Peers == nil {
		return nil
	}
	peers := slices.Clone(s.Peers())
	s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
