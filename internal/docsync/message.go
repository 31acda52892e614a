package docsync

import "github.com/masticspar/masticspar/internal/fleet"

// Message is exactly one of the messages that Syncers exchange.
type Message struct {
	Query    *Query    `cbor:"1,keyasint,omitempty"`
	Digest   *Digest   `cbor:"2,keyasint,omitempty"`
	Request  *Request  `cbor:"3,keyasint,omitempty"`
	Document *Document `cbor:"4,keyasint,omitempty"`
}

// Query asks for a Digest.
type Query struct {
	// Round is repeated in the answer. An answer to an earlier round may have waited in a queue during a pause.
	Round uint64 `cbor:"1,keyasint"`
}

// Digest tells what the sender has in force. Pings carry it with a zero Round.
type Digest struct {
	Versions fleet.Versions `cbor:"1,keyasint"`
	// Round is the round of the Query that this answers, zero for an announcement.
	Round uint64 `cbor:"2,keyasint,omitempty"`
	// Ready says that the sender has itself finished its start or refresh.
	Ready bool `cbor:"3,keyasint,omitempty"`
}

// Request asks for a document.
type Request struct {
	Kind fleet.Kind `cbor:"1,keyasint"`
	// After is the version that the sender has; only a greater one is of use.
	After uint64 `cbor:"2,keyasint,omitempty"`
}

// Document answers a Request.
type Document struct {
	Kind fleet.Kind `cbor:"1,keyasint"`
	// Bytes are the published bytes of a small document. Bytes and Compressed are empty when the sender has nothing
	// greater than what was asked for.
	Bytes []byte `cbor:"2,keyasint,omitempty"`
	// Compressed are the published bytes in the form that fleet.Catalog.Compressed returns.
	Compressed []byte `cbor:"3,keyasint,omitempty"`

	candidate *fleet.Candidate
}

// Prepare decodes a received document, if the message carries one, so that Handle need not do it. The code that
// receives messages calls it before it takes the lock of the engine.
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
