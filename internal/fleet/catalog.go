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

// Reasons for which Accept and AcceptBytes refuse a document; their text is part of the name of the counter.
const (
	// ErrStale is returned for a version below the active one, which is normal while an update is distributed.
	ErrStale = errors.ConstError("stale")
	// ErrConflict is returned for the active version with other content: two publications used the same number.
	ErrConflict = errors.ConstError("conflict")
	// ErrInvalid is returned for a document that cannot be decoded or is not valid.
	ErrInvalid = errors.ConstError("invalid")
)

// Refusal describes a document that was refused as invalid or conflicting.
type Refusal struct {
	// Kind is the kind of the document, and Source the platform or peer that it came from.
	Kind   Kind
	Source string
	// Error is the text of the error with which the document was refused.
	Error string
	// Time is the value of Catalog.Now at the refusal.
	Time time.Duration
}

// Catalog is the accepted configuration; the zero value has no documents and is ready for use.
type Catalog struct {
	// Counters counts accepted and refused documents by kind and reason; nil counts nothing.
	Counters *counter.Set
	// Now returns the time that Accepted and LastRefusal report; nil reports zero.
	Now func() time.Duration

	inventory    *inventory.Document
	rules        *rules.Document
	documents    [len(Kinds)]accepted
	lastRefusal  Refusal
	generation   uint64
	ignoredNames int

	services   []*Service
	byListener map[listener]*Service
	byAddress  map[netip.Addr]serviceHost
	serviceIDs map[string]uint32
	hostIDs    map[string]uint32
}

type accepted struct {
	bytes      []byte
	compressed []byte
	version    Version
	source     string
	at         time.Duration
}

type listener struct {
	address  [16]byte
	port     uint16
	protocol uint8
}

type serviceHost struct {
	service *Service
	host    *Host
}

// AcceptBytes decodes a document, activates it if its version is greater than the active one, and reports whether the
// configuration changed. A copy of the active document is neither a change nor an error. The catalog keeps its own copy
// of b.
func (c *Catalog) AcceptBytes(kind Kind, source string, b []byte) (bool, error) {
	if c.isCurrent(kind, b) {
		return false, nil
	}
	return c.Accept(Prepare(kind, source, b))
}

// Accept is like AcceptBytes for a document that Prepare or PrepareCompressed has decoded.
func (c *Catalog) Accept(d *Candidate) (bool, error) {
	if c.isCurrent(d.kind, d.bytes) {
		return false, nil
	}
	if d.err != nil {
		return false, c.refuse(d.kind, d.source, errors.WithType(d.err, ErrInvalid))
	}
	current := &c.documents[d.kind-1]
	switch {
	case d.version.Number < current.version.Number:
		err := errors.Errorf("%s: version %d is lower than the active version %d",
			d.kind, d.version.Number, current.version.Number)
		return false, c.refuse(d.kind, d.source, errors.WithType(err, ErrStale))
	case d.version.Number == current.version.Number:
		err := errors.Errorf("%s: version %d from %s has other content than the active document from %s",
			d.kind, d.version.Number, d.source, current.source)
		return false, c.refuse(d.kind, d.source, errors.WithType(err, ErrConflict))
	}
	if d.kind == Rules {
		c.rules = d.rules
	} else {
		c.inventory = d.inventory
	}
	*current = accepted{bytes: d.bytes, compressed: d.compressed, version: d.version, source: d.source, at: c.now()}
	c.build()
	c.Counters.Add("document-accepted-"+d.kind.String(), 1)
	return true, nil
}

// isCurrent reports whether b is the content of the active document.
func (c *Catalog) isCurrent(kind Kind, b []byte) bool {
	current := c.Document(kind)
	return current != nil && bytes.Equal(b, current)
}

// Compare returns ErrConflict and records a refusal if v, the active version of a peer, has the number of the version
// that is active here but another hash.
func (c *Catalog) Compare(kind Kind, source string, v Version) error {
	current := c.Versions().Of(kind)
	if v.Number == 0 || v.Number != current.Number || v.Hash == current.Hash {
		return nil
	}
	err := errors.Errorf("%s: version %d of %s has other content than the active document", kind, v.Number, source)
	return c.refuse(kind, source, errors.WithType(err, ErrConflict))
}

func (c *Catalog) refuse(kind Kind, source string, err error) error {
	for _, reason := range []errors.ConstError{ErrStale, ErrConflict, ErrInvalid} {
		if errors.Is(err, reason) {
			c.Counters.Add("document-refused-"+string(reason)+"-"+kind.String(), 1)
		}
	}
	// A stale document needs no action by an operator and would replace a refusal that does.
	if !errors.Is(err, ErrStale) {
		c.lastRefusal = Refusal{Kind: kind, Source: source, Error: err.Error(), Time: c.now()}
	}
	return err
}

func (c *Catalog) now() time.Duration {
	if c.Now == nil {
		return 0
	}
	return c.Now()
}

// Versions returns the active versions.
func (c *Catalog) Versions() Versions {
	return Versions{Inventory: c.documents[Inventory-1].version, Rules: c.documents[Rules-1].version}
}

// Document returns the bytes of the active document, or nil if there is none; they must not be modified.
func (c *Catalog) Document(kind Kind) []byte {
	if kind != Inventory && kind != Rules {
		return nil
	}
	return c.documents[kind-1].bytes
}

// Accepted returns the time at which the active document was accepted, and its source.
func (c *Catalog) Accepted(kind Kind) (at time.Duration, source string) {
	if kind != Inventory && kind != Rules {
		return 0, ""
	}
	return c.documents[kind-1].at, c.documents[kind-1].source
}

// LastRefusal returns the last refusal of an invalid or conflicting document, or the zero value if there was none.
func (c *Catalog) LastRefusal() Refusal { return c.lastRefusal }

// Generation returns a number that increases with each accepted document.
func (c *Catalog) Generation() uint64 { return c.generation }

// Ignored returns the number of names in the rules that are not in the inventory.
func (c *Catalog) Ignored() int { return c.ignoredNames }

// Services returns all services, sorted by name; the slice must not be modified.
func (c *Catalog) Services() []*Service { return c.services }

// Lookup returns the service at the destination address, port and protocol of the key, or nil.
func (c *Catalog) Lookup(k *packet.Key) *Service {
	return c.byListener[listener{k.Destination, k.DestinationPort, k.Protocol}]
}

// HostAt returns the host with the IP address and its service, or nil.
func (c *Catalog) HostAt(a netip.Addr) (*Service, *Host) {
	t := c.byAddress[a.Unmap()]
	return t.service, t.host
}
