package lookup

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// maxTokens is the maximum number of tokens in a query.
	maxTokens = 8
	// maxMessageBytes is the maximum size of an encoded message.
	maxMessageBytes = 1400
	// maxRecordBytes is the maximum size of the encoded records in a reply; the other fields take at most 32 bytes.
	maxRecordBytes = maxMessageBytes - 32
)

// Message is a query with Tokens or a reply with Servers.
type Message struct {
	// From is the address for replies. The source address of the datagram is not used, because the sender may use other
	// ports as well.
	From netip.AddrPort `cbor:"3,keyasint"`
	// Tokens are the tokens of a query, at most 8; empty in a reply.
	Tokens []uint32 `cbor:"1,keyasint,omitempty"`
	// Servers are the records that the sender of a reply has of the tokens, at most 8; empty in a query.
	Servers []registry.Record `cbor:"2,keyasint,omitempty"`
}

// The array limit of a CBOR decoder is at least 16, so Decode checks maxTokens itself.
var decoder = strictcbor.NewDecoder(2*maxTokens, 5)

// Encode returns the CBOR form of m.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Trace(err)
}

// Decode parses a message and returns an error if it is malformed or exceeds a limit.
func Decode(b []byte) (*Message, error) {
	if len(b) > maxMessageBytes {
		return nil, errors.Errorf("lookup message of %d bytes exceeds the limit of %d bytes", len(b), maxMessageBytes)
	}
	m := &Message{}
	if err := decoder.Unmarshal(b, m); err != nil {
		return nil, errors.Trace(err)
	}
	if !m.From.IsValid() {
		return nil, errors.New("lookup message has no sender address")
	}
	if len(m.Tokens) > maxTokens || len(m.Servers) > maxTokens || len(m.Tokens) > 0 == (len(m.Servers) > 0) {
		return nil, errors.Errorf("lookup message has %d tokens and %d servers, want 1 to 8 of exactly one kind",
			len(m.Tokens), len(m.Servers))
	}
	for i := range m.Servers {
		if h := &m.Servers[i].Host; h.Name == "" || !h.Address.IsValid() {
			return nil, errors.Errorf("lookup record of server %q has no name or no address", h.Name)
		}
	}
	return m, nil
}
