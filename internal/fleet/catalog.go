package fleet

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/inventory"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/rules"
)

// Reasons for which AcceptBytes refuses a document; their text is part of the name of the counter.
const (
	// ErrStale is a version below the one in force; it is ordinary while an update spreads.
	ErrStale = errors.ConstError("stale")
	// ErrConflict is the version in force with other content: two publications used the same number.
	ErrConflict = errors.ConstError("conflict")
	// ErrInvalid is a document that cannot be decoded or does not validate.
	ErrInvalid = errors.ConstError("invalid")
)

// Refusal is the last document that was refused as invalid or conflicting.
type Refusal struct {
	// Kind and Source are what was offered and by whom.
	Kind   Kind
	Source string
	// Error says why it was refused.
	Error string
	// Time is when it was refused.
	Time time.Duration
}

// Catalog is the accepted configuration; the zero value has no documents and is ready for use.
type Catalog struct {
	// Counters counts accepted and refused documents by kind and reason; nil counts nothing.
	Counters *counter.Set
	// Now returns the time that Accepted and LastRefusal report; nil reports zero.
	Now func() time.Duration

	inventory  *inventory.Document
	rules      *rules.Document
	documents  [len(Kinds)]accepted
	refusal    Refusal
	generation uint64
	ignored    int

	services   []*Service
	byListener map[listener]*Service
	byAddress  map[netip.Addr]tenant
	serviceIDs map[string]uint32
	hostIDs    map[string]uint32
}

type accepted struct {
	bytes   []byte
	packed  []byte
	version Version
	source  string
	at      time.Duration
}

type listener struct {
	address  [16]byte
	port     uint16
	protocol uint8
}

type tenant struct {
	service *Service
	host    *Host
}

// AcceptBytes puts a document in force if its version is greater than the one in force, and reports whether it did.
// The same content again is no change. The catalog keeps its own copy of b.
func (p *Catalog) AcceptBytes(kind Kind, source string, b []byte) (bool, error) {
	if p.running(kind, b) {
		return false, nil
	}
	return p.Accept(Prepare(kind, source, b))
}

// Accept is AcceptBytes for a document that was decoded before.
func (p *Catalog) Accept(c *Candidate) (bool, error) {
	if p.running(c.kind, c.bytes) {
		return false, nil
	}
	if c.err != nil {
		return false, p.refuse(c.kind, c.source, errors.WithType(c.err, ErrInvalid))
	}
	running := &p.documents[c.kind-1]
	switch {
	case c.version.Number < running.version.Number:
		err := errors.Errorf("%s: version %d is lower than %d, which is in force",
			c.kind, c.version.Number, running.version.Number)
		return false, p.refuse(c.kind, c.source, errors.WithType(err, ErrStale))
	case c.version.Number == running.version.Number:
		err := errors.Errorf("%s: version %d from %s has other content than the one in force from %s",
			c.kind, c.version.Number, c.source, running.source)
		return false, p.refuse(c.kind, c.source, errors.WithType(err, ErrConflict))
	}
	if c.kind == Rules {
		p.rules = c.rules
	} else {
		p.inventory = c.inventory
	}
	*running = accepted{bytes: c.bytes, packed: c.packed, version: c.version, source: c.source, at: p.now()}
	p.build()
	p.Counters.Add("document-accepted-"+c.kind.String(), 1)
	return true, nil
}

// Reports whether b is the content in force.
func (p *Catalog) running(kind Kind, b []byte) bool {
	running := p.Document(kind)
	return running != nil && bytes.Equal(b, running)
}

// Compare refuses a version that a peer has in force when it has the number of the one in force here but other content.
func (p *Catalog) Compare(kind Kind, source string, v Version) error {
	running := p.Versions().Of(kind)
	if v.Number == 0 || v.Number != running.Number || v.Hash == running.Hash {
		return nil
	}
	err := errors.Errorf("%s: version %d of %s has other content than the one in force", kind, v.Number, source)
	return p.refuse(kind, source, errors.WithType(err, ErrConflict))
}

func (p *Catalog) refuse(kind Kind, source string, err error) error {
	for _, reason := range []errors.ConstError{ErrStale, ErrConflict, ErrInvalid} {
		if errors.Is(err, reason) {
			p.Counters.Add("document-refused-"+string(reason)+"-"+kind.String(), 1)
		}
	}
	// A stale document needs no one's attention and would hide a refusal that does.
	if !errors.Is(err, ErrStale) {
		p.refusal = Refusal{Kind: kind, Source: source, Error: err.Error(), Time: p.now()}
	}
	return err
}

func (p *Catalog) now() time.Duration {
	if p.Now == nil {
		return 0
	}
	return p.Now()
}

// Versions returns the versions in force.
func (p *Catalog) Versions() Versions {
	return Versions{Inventory: p.documents[Inventory-1].version, Rules: p.documents[Rules-1].version}
}

// Document returns the bytes of the document in force, nil if there is none; they must not be changed.
func (p *Catalog) Document(kind Kind) []byte {
	if kind != Inventory && kind != Rules {
		return nil
	}
	return p.documents[kind-1].bytes
}

// Accepted returns when and from whom the document in force was accepted.
func (p *Catalog) Accepted(kind Kind) (at time.Duration, source string) {
	if kind != Inventory && kind != Rules {
		return 0, ""
	}
	return p.documents[kind-1].at, p.documents[kind-1].source
}

// LastRefusal returns the last invalid or conflicting document; the zero value means that there was none.
func (p *Catalog) LastRefusal() Refusal { return p.refusal }

// Generation is raised by each accepted document.
func (p *Catalog) Generation() uint64 { return p.generation }

// Ignored is the number of names in the rules that the inventory does not have.
func (p *Catalog) Ignored() int { return p.ignored }

// Services returns all services in the order of their names; the slice must not be changed.
func (p *Catalog) Services() []*Service { return p.services }

// Lookup returns the service at the destination address, port and protocol of the key, or nil.
func (p *Catalog) Lookup(k *packet.Key) *Service {
	return p.byListener[listener{k.Destination, k.DestinationPort, k.Protocol}]
}

// HostAt returns the host with the IP address and its service, or nil.
func (p *Catalog) HostAt(a netip.Addr) (*Service, *Host) {
	t := p.byAddress[a.Unmap()]
	return t.service, t.host
}
