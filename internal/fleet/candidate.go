package fleet

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/masticspar/masticspar/internal/inventory"
	"github.com/masticspar/masticspar/internal/rules"
)

// Candidate is a decoded and validated document, or the error that makes it invalid; it is immutable.
//
// Decoding a document of 1 MB takes many times as long as activating it. The receiver therefore decodes it before it
// takes the lock of the engine, so that packet processing is not blocked by the decoding.
type Candidate struct {
	kind       Kind
	source     string
	bytes      []byte
	compressed []byte
	version    Version
	inventory  *inventory.Document
	rules      *rules.Document
	err        error
}

// Prepare decodes a document for Accept. It may be called from any goroutine and keeps its own copy of b.
func Prepare(kind Kind, source string, b []byte) *Candidate {
	c := &Candidate{kind: kind, source: source, bytes: bytes.Clone(b)}
	switch kind {
	case Inventory:
		if c.inventory, c.err = inventory.Decode(b); c.err == nil {
			c.version.Number = c.inventory.Version
		}
	case Rules:
		if c.rules, c.err = rules.Decode(b); c.err == nil {
			c.version.Number = c.rules.Version
		}
	default:
		c.err = errors.Errorf("document kind %d is unknown", kind)
	}
	c.version.Hash = HashOf(b)
	if c.err == nil {
		c.compressed = compress(b)
	}
	return c
}

// Kind returns the kind of the document.
func (c *Candidate) Kind() Kind { return c.kind }

// Hash returns the hash of the bytes that were received: those of the document, or the compressed ones if they could
// not be decompressed.
func (c *Candidate) Hash() uint64 { return c.version.Hash }
