package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// MaxMessage is the greatest size of an encoded message.
	MaxMessage = 2 << 20

	maxDatagram = 1160 // A larger payload does not fit the smallest QUIC packet of 1,200 bytes.
	maxName     = 64
)

// Kind is the kind of a message; it decides what the byte budget may refuse.
type Kind uint8

// The kinds of messages.
const (
	Membership      Kind = iota + 1 // Pings, acks and the like.
	DocumentRequest                 // Asks for a document.
	Document                        // Carries a document.
	Report                          // Carries capacity sums; refused when the budget is used up.
	Hint                            // Carries pins; refused when half of the budget is used up.
)

// Message is what one member sends to another.
type Message struct {
	// From is the name of the sender, which its certificate proves.
	From string `cbor:"1,keyasint"`
	// Kind is the kind of the body.
	Kind Kind `cbor:"2,keyasint"`
	// Body is the encoded content.
	Body []byte `cbor:"3,keyasint"`
}

var decoder = strictcbor.NewDecoder(16, 4)

// Encode returns the CBOR form of m.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > MaxMessage {
		return nil, errors.Errorf("message of %d bytes exceeds %d", len(data), MaxMessage)
	}
	return data, nil
}

// Decode returns the message in data, or an error if it breaks the format or a limit.
func Decode(data []byte) (Message, error) {
	var m Message
	if len(data) > MaxMessage {
		return m, errors.Errorf("message of %d bytes exceeds %d", len(data), MaxMessage)
	}
	if err := decoder.Unmarshal(data, &m); err != nil {
		return m, errors.Trace(err)
	}
	if m.From == "" || len(m.From) > maxName || m.Kind < Membership || m.Kind > Hint {
		return m, errors.Errorf("sender %q or kind %d is out of range", m.From, m.Kind)
	}
	return m, nil
}
