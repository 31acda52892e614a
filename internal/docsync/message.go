package docsync

import "github.com/masticspar/masticspar/internal/fleet"

// Message is a message between two Syncers. Exactly one field is set.
type Message struct {
	Query    *Query    `cbor:"1,keyasint,omitempty"`
	Digest   *Digest   `cbor:"2,keyasint,omitempty"`
	Request  *Request  `cbor:"3,keyasint,omitempty"`
	Document *Document `cbor:"4,keyasint,omitempty"`
}

// Query requests a Digest.
type Query struct {
	// Round is repeated in the reply. A reply to an earlier round may have been queued during a pause and be outdated.
	Round uint64 `cbor:"1,keyasint"`
}

// Digest has the versions of the sender's active documents. Pings carry it with a zero Round.
type Digest struct {
	Versions fleet.Versions `cbor:"1,keyasint"`
	// Round is the round of the Query that this is the reply to; it is zero in an announcement.
	Round uint64 `cbor:"2,keyasint,omitempty"`
	// Ready reports whether the sender has finished its own start or refresh.
	Ready bool `cbor:"3,keyasint,omitempty"`
}

// Request requests a document.
type Request struct {
	Kind fleet.Kind `cbor:"1,keyasint"`
	// After is the version that the sender has; it needs only a greater one.
	After uint64 `cbor:"2,keyasint,omitempty"`
}

// Document is the reply to a Request.
type Document struct {
	Kind fleet.Kind `cbor:"1,keyasint"`
	// Bytes are the published bytes of a small document. Bytes and Compressed are empty if the sender has no version
	// greater than Request.After.
	Bytes []byte `cbor:"2,keyasint,omitempty"`
	// Compressed are the published bytes in the form that fleet.Catalog.Compressed returns.
	Compressed []byte `cbor:"3,keyasint,omitempty"`

	candidate *fleet.Candidate
}

// Prepare decodes a received document, if the message carries one, so that Handle does not have to. The receiving code
// calls it before it acquires the lock of the engine.
func (m *Message) Prepare(from string) {
	if m.Document != nil {
		m.Document.prepare(from)
	}
}

func (d *Document) prepare(from string) {
	switch {
	case d.candidate != nil:
	case len(d.Compressed) > 0:
		d.candidate = fleet.PrepareCompressed(d.Kind, from, d.Compressed)
	case len(d.Bytes) > 0:
		d.candidate = fleet.Prepare(d.Kind, from, d.Bytes)
	}
}
