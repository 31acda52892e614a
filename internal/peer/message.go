package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// MaxMessage is the maximum size of an encoded message in bytes.
	MaxMessage = 2 << 20

	maxDatagram = 1160 // Bytes; a larger payload does not fit into the smallest QUIC packet of 1,200 bytes.
	maxName     = 64   // Bytes.
)

// Kind is the kind of a message; it determines whether the byte budget may drop the message.
type Kind uint8

// The kinds of messages.
const (
	Membership      Kind = iota + 1 // A message of package member, such as a ping or an ack.
	DocumentRequest                 // Requests a document.
	Document                        // Carries a document.
	Report                          // Carries capacity sums; dropped when the budget is used up.
	Hint                            // Carries pins; dropped when half of the budget is used up.
)

// Message is a message from one member to another.
type Message struct {
	// From is the name of the sender, which must match its certificate.
	From string `cbor:"1,keyasint"`
	// Kind is the kind of the body.
	Kind Kind `cbor:"2,keyasint"`
	// Body is the encoded content; the package does not interpret it.
	Body []byte `cbor:"3,keyasint"`
}

var decoder = strictcbor.NewDecoder(16, 4)

// Encode returns the CBOR encoding of m, or an error if it exceeds MaxMessage.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > MaxMessage {
		return nil, errors.Errorf("message of %d bytes exceeds the limit of %d bytes", len(data), MaxMessage)
	}
	return data, nil
}

// Decode returns the message in data, or an error if data is malformed or exceeds a limit.
func Decode(data []byte) (Message, error) {
	var m Message
	if len(data) > MaxMessage {
		return m, errors.Errorf("message of %d bytes exceeds the limit of %d bytes", len(data), MaxMessage)
	}
	if err := decoder.Unmarshal(data, &m); err != nil {
		return m, errors.Trace(err)
	}
	if m.From == "" || len(m.From) > maxName || m.Kind < Membership || m.Kind > Hint {
		return m, errors.Errorf("sender name %q or message kind %d is out of range", m.From, m.Kind)
	}
	return m, nil
}
