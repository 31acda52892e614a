package lookup

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// maxTokens bounds the tokens of a question; the answer then fits a datagram of 1,300 bytes.
	maxTokens = 8
	// maxMessageBytes is the greatest size of a message in bytes.
	maxMessageBytes = 1400
)

// Message is a question with Tokens or an answer with Servers.
type Message struct {
	// From is the address that answers go to; the sender's socket has other ports too.
	From netip.AddrPort `cbor:"3,keyasint"`
	// Tokens are asked for.
	Tokens []uint32 `cbor:"1,keyasint,omitempty"`
	// Servers are those of the asked tokens that the sender knows.
	Servers []registry.Record `cbor:"2,keyasint,omitempty"`
}

// The decoder takes arrays of 16 elements or more only.
var decoder = strictcbor.NewDecoder(2*maxTokens, 5)

// Encode returns the CBOR form of m.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Trace(err)
}

// Decode returns the message in b, or an error if it breaks the format or a limit.
func Decode(b []byte) (*Message, error) {
	if len(b) > maxMessageBytes {
		return nil, errors.Errorf("question or answer of %d bytes exceeds %d", len(b), maxMessageBytes)
	}
	m := &Message{}
	if err := decoder.Unmarshal(b, m); err != nil {
		return nil, errors.Trace(err)
	}
	if !m.From.IsValid() {
		return nil, errors.New("question or answer without a sender")
	}
	if len(m.Tokens) > maxTokens || len(m.Servers) > maxTokens || len(m.Tokens) > 0 == (len(m.Servers) > 0) {
		return nil, errors.Errorf("%d tokens and %d servers", len(m.Tokens), len(m.Servers))
	}
	for i := range m.Servers {
		if h := &m.Servers[i].Host; h.Name == "" || !h.Address.IsValid() {
			return nil, errors.Errorf("server %q is incomplete", h.Name)
		}
	}
	return m, nil
}
