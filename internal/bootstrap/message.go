package bootstrap

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// maxSources is the greatest number of sources in a reply; with two, one may fail.
	maxSources = 2
	// maxMessageBytes is the greatest size of an encoded message in bytes.
	maxMessageBytes = 512
	// maxZoneBytes is the greatest length of the name of an availability zone in bytes.
	maxZoneBytes = 64
)

// Message is a query of an entry VM that starts, the notice of one that has the state, or a reply to a query.
type Message struct {
	// From is the address for replies, at which the sender also serves its state once it has it.
	From netip.AddrPort `cbor:"1,keyasint"`
	// Reply distinguishes replies from queries and notices.
	Reply bool `cbor:"2,keyasint,omitempty"`
	// AvailabilityZone is the availability zone of the sender of a query or notice.
	AvailabilityZone string `cbor:"3,keyasint,omitempty"`
	// Size is the size of the sender of a query or notice in thousandths of a core.
	Size uint32 `cbor:"4,keyasint,omitempty"`
	// Synced marks a notice: the sender has the state.
	Synced bool `cbor:"5,keyasint,omitempty"`
	// Busy marks a query that needs no referral, because its sender already fetches the state or reads the store.
	Busy bool `cbor:"8,keyasint,omitempty"`
	// Read is set in a reply if the receiver has to read the store.
	Read bool `cbor:"6,keyasint,omitempty"`
	// Sources are the entry VMs in a reply that have the state, at most 2. A reply with neither Read nor Sources asks
	// the receiver to wait.
	Sources []netip.AddrPort `cbor:"7,keyasint,omitempty"`
}

// The array limit of a CBOR decoder is at least 16, so Decode checks maxSources itself.
var decoder = strictcbor.NewDecoder(16, 4)

// Encode returns the CBOR form of m.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Trace(err)
}

// Decode parses a message and returns an error if it is malformed or exceeds a limit.
func Decode(b []byte) (*Message, error) {
	if len(b) > maxMessageBytes {
		return nil, errors.Errorf("bootstrap message of %d bytes exceeds the limit of %d bytes", len(b), maxMessageBytes)
	}
	m := &Message{}
	if err := decoder.Unmarshal(b, m); err != nil {
		return nil, errors.Trace(err)
	}
	if !m.From.IsValid() {
		return nil, errors.New("bootstrap message has no sender address")
	}
	if !m.Reply && (m.AvailabilityZone == "" || len(m.AvailabilityZone) > maxZoneBytes) {
		return nil, errors.Errorf("bootstrap query names an availability zone of %d bytes, want 1 to %d bytes",
			len(m.AvailabilityZone), maxZoneBytes)
	}
	if len(m.Sources) > maxSources {
		return nil, errors.Errorf("bootstrap reply has %d sources, want at most %d", len(m.Sources), maxSources)
	}
	for _, a := range m.Sources {
		if !a.IsValid() {
			return nil, errors.New("bootstrap reply has a source without an address")
		}
	}
	return m, nil
}
