package docsync

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/fleet"
)

// Times and limits of the exchange of documents.
const (
	// RequestTimeout is the time after which a document is requested from another peer; a later reply is still used.
	// With 1 s and one message in five lost, some processes exceed the 6 s in which an update has to become active.
	RequestTimeout = 500 * time.Millisecond
	// QueryPeriod is the time between two queries during a start or a refresh.
	QueryPeriod = 500 * time.Millisecond
	// ReadyTimeout is the longest time for which a start or a refresh holds back documents of the platform.
	ReadyTimeout = 3 * time.Second
	// Fanout is the number of peers that a new version is announced to.
	Fanout = 3
	// DefaultMaxRequests allows one outstanding request for each document; a second one would fetch the same bytes.
	DefaultMaxRequests = len(fleet.Kinds)
)

// maxRefused is the greatest number of refused versions that are stored, so that a peer cannot exhaust the memory.
const maxRefused = 64

// Syncer keeps the documents of one process in sync with those of its peers. Call Start before any other method.
type Syncer struct {
	// Catalog holds the accepted documents.
	Catalog *fleet.Catalog
	// Send sends a message to a peer or a contact.
	Send func(to string, m Message)
	// Peers returns the names of the members to exchange messages with; nil means that there are none.
	Peers func() []string
	// Contacts are the addresses to query in addition to peers during a start or a refresh.
	Contacts []string
	// MaxRequests is the greatest number of outstanding requests; zero selects DefaultMaxRequests.
	MaxRequests int
	// Counters counts requests, retries by reason and conflicts; nil counts nothing.
	Counters *counter.Set
	// Changed is called with the kind of each newly accepted document; it may be nil.
	Changed func(now time.Duration, kind fleet.Kind)

	random         *rand.Rand
	ready          bool
	round          uint64
	startedAt      time.Duration
	queriedAt      time.Duration
	digestReceived bool // whether a ready peer has replied to the query of this round

	advertised  map[string]fleet.Versions
	newest      map[fleet.Kind]uint64 // greatest version that any peer has advertised, including removed peers
	requests    map[fleet.Kind]request
	requestedAt map[fleet.Kind]map[string]time.Duration // time of the last request, by peer
	refused     map[documentVersion]bool                // received and not accepted
	held        map[fleet.Kind][]*fleet.Candidate       // documents of the platform, held back until ready
}

type request struct {
	to       string
	deadline time.Duration
}

type documentVersion struct {
	kind    fleet.Kind
	version fleet.Version
}

// Start initializes the Syncer of a new process and queries the contacts. Equal seeds give equal random choices.
func (s *Syncer) Start(now time.Duration, seed uint64) {
	s.random = rand.New(rand.NewPCG(seed, seed))
	s.advertised = map[string]fleet.Versions{}
	s.newest = map[fleet.Kind]uint64{}
	s.refused = map[documentVersion]bool{}
	s.round = s.random.Uint64() >> 1
	s.Resume(now)
}

// Resume starts a refresh after a pause: it queries contacts and peers as Start does.
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

// Ready reports whether the start or the refresh has finished.
func (s *Syncer) Ready() bool { return s.ready }

// Digest returns the Digest that pings carry.
func (s *Syncer) Digest() Digest { return Digest{Versions: s.Catalog.Versions(), Ready: s.ready} }

// Tick ends requests that timed out and repeats queries. Call it several times per second.
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

// HandlePlatformDocument processes a document that the platform served and reports whether it became active. During a
// start or a refresh it holds the document back and returns false.
func (s *Syncer) HandlePlatformDocument(now time.Duration, c *fleet.Candidate) (bool, error) {
	if s.ready {
		return s.accept(now, c)
	}
	// The platform serves only a few documents before ReadyTimeout; the last two cover an update in the meantime.
	s.held[c.Kind()] = append(s.held[c.Kind()], c)
	if n := len(s.held[c.Kind()]); n > 2 {
		s.held[c.Kind()] = s.held[c.Kind()][n-2:]
	}
	return false, nil
}

// Handle processes a message from a peer.
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

// Forget removes the state of a peer that is dead or has left.
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
		_ = s.Catalog.Compare(kind, from, d.Versions.Of(kind)) // The catalog counts and stores the refusal.
	}
	// A peer that is itself starting may have no newer versions than this process.
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
	// A late reply to an earlier request is still used, but does not end the outstanding request to another peer.
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

// requestMissing sends the requests that are due, and ends the start or the refresh if no document is missing.
func (s *Syncer) requestMissing(now time.Duration) {
	maxRequests := cmp.Or(s.MaxRequests, DefaultMaxRequests)
	missing := false
	for _, kind := range fleet.Kinds {
		if _, ok := s.requests[kind]; ok {
			missing = true
			continue
		}
		peer, behind := s.choosePeer(now, kind)
		missing = missing || behind
		if peer == "" || len(s.requests) >= maxRequests {
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
			_, _ = s.accept(now, c) // The catalog counts and stores a refusal.
		}
	}
}

// choosePeer returns the peer to request a version greater than the active one from, and whether any peer advertises
// one. It prefers peers without an earlier request, then the greatest version, then chooses at random. A peer gets no
// second request within RequestTimeout, which prevents a loop of requests to a peer that does not serve the version
// that it advertises.
func (s *Syncer) choosePeer(now time.Duration, kind fleet.Kind) (peer string, behind bool) {
	active := s.Catalog.Versions().Of(kind).Number
	// Usually no peer has a greater version. Checking the versions of 500 peers on each message and tick takes 20 µs.
	if s.newest[kind] <= active {
		return "", false
	}
	var names []string
	for name, v := range s.advertised {
		if v := v.Of(kind); v.Number > active && !s.refused[documentVersion{kind, v}] {
			names = append(names, name)
		}
	}
	slices.Sort(names) // Without sorting, the random order of the map would make the choice depend on more than the seed.
	var best []string
	var greatest uint64
	onlyUnrequested := false // Whether best has only peers without an earlier request.
	for _, name := range names {
		at, requested := s.requestedAt[kind][name]
		if requested && (onlyUnrequested || now-at < RequestTimeout) {
			continue
		}
		number := s.advertised[name].Of(kind).Number
		if !requested && !onlyUnrequested || number > greatest {
			best, greatest = nil, number
		}
		onlyUnrequested = !requested
		if number == greatest {
			best = append(best, name)
		}
	}
	if len(best) == 0 {
		return "", len(names) > 0
	}
	return best[s.random.IntN(len(best))], true
}

// sample returns up to n random peers.
func (s *Syncer) sample(n int) []string {
	if s.Peers == nil {
		return nil
	}
	peers := slices.Clone(s.Peers())
	s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
