package member

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// MaxMessage is the maximum size of an encoded message in bytes; it fits a QUIC datagram at an MTU of 1280 bytes.
	MaxMessage = 1100

	maxName        = 64
	maxDigests     = 4
	maxDigestName  = 16
	maxDigestHash  = 32
	maxUpdates     = 32
	maxIncarnation = 1 << 62 // Leaves room to increase an incarnation that was received.
)

// State is the state of a member as seen by one process.
type State uint8

// The states of a member. Within one incarnation a later one in this list replaces an earlier one.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
)

// String returns the name of the state as it appears in status and logs.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	}
	return "unknown"
}

// Member is one entry VM process as a peer sees it.
type Member struct {
	// Name is unique among all entry VMs and equals the name in the member's certificate.
	Name string `cbor:"1,keyasint"`
	// Zone is the availability zone of the VM.
	Zone string `cbor:"2,keyasint,omitempty"`
	// Region is the region of the VM; flows are shared only by members of the same region.
	Region string `cbor:"3,keyasint,omitempty"`
	// Size is the relative size of the VM, the weight in rendezvous hashing.
	Size uint32 `cbor:"4,keyasint,omitempty"`
	// Control is the address at which the member receives messages.
	Control netip.AddrPort `cbor:"5,keyasint"`
	// Data is the address at which the member receives forwarded packets.
	Data netip.AddrPort `cbor:"6,keyasint"`
	// Incarnation is the start time of the process in milliseconds; the member increases it to refute a suspicion.
	Incarnation uint64 `cbor:"7,keyasint"`
	// State is the state in this incarnation.
	State State `cbor:"8,keyasint,omitempty"`
}

// Live reports whether the member is expected to reply, which is in any state but StateDead.
func (m Member) Live() bool { return m.State != StateDead }

// Digest identifies a document that is active at a member; the list does not interpret it.
type Digest struct {
	// Kind is the kind of the document, at most 16 bytes.
	Kind string `cbor:"1,keyasint"`
	// Version is the version number of the document.
	Version uint64 `cbor:"2,keyasint"`
	// Hash is a hash of the content, at most 32 bytes.
	Hash []byte `cbor:"3,keyasint,omitempty"`
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping            Kind = iota + 1 // Requests an Ack.
	Ack                             // Is the reply to a Ping or a PingRequest.
	PingRequest                     // Requests that the receiver pings Target and forwards the Ack.
	ExchangeRequest                 // Requests the members whose names sort after After.
	Exchange                        // Is the reply to an ExchangeRequest, one page of members.
	Notice                          // Carries urgent updates, such as a leave, and has no reply.
)

// Message is a message from one member to another.
type Message struct {
	// Kind selects which of the fields below are used.
	Kind Kind `cbor:"1,keyasint"`
	// Sequence matches a reply to its request.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
	// From is the current state of the sender.
	From Member `cbor:"3,keyasint"`
	// Target is the member to ping in a PingRequest, otherwise nil.
	Target *Member `cbor:"4,keyasint,omitempty"`
	// Digests are the active documents of the sender.
	Digests []Digest `cbor:"5,keyasint,omitempty"`
	// Updates are the states of other members as the sender sees them.
	Updates []Member `cbor:"6,keyasint,omitempty"`
	// After is the name after which the page of an ExchangeRequest starts.
	After string `cbor:"7,keyasint,omitempty"`
	// More reports whether an Exchange is followed by further pages.
	More bool `cbor:"8,keyasint,omitempty"`
}

var decoder = strictcbor.NewDecoder(maxUpdates, 5)

// Encode returns the CBOR encoding of m.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.Trace(err)
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
	return m, errors.Trace(m.check())
}

func (m Message) check() error {
	if m.Kind < Ping || m.Kind > Notice {
		return errors.Errorf("message kind %d is unknown", m.Kind)
	}
	if (m.Kind == PingRequest) != (m.Target != nil) {
		return errors.New("target must be set in a ping request and in no other message")
	}
	if err := m.From.check(); err != nil {
		return errors.Annotate(err, "sender")
	}
	if m.Target != nil {
		if err := m.Target.check(); err != nil {
			return errors.Annotate(err, "target")
		}
	}
	if len(m.Digests) > maxDigests {
		return errors.Errorf("%d digests exceed the limit of %d", len(m.Digests), maxDigests)
	}
	for _, d := range m.Digests {
		if len(d.Kind) > maxDigestName || len(d.Hash) > maxDigestHash {
			return errors.Errorf("digest of %q: kind exceeds 16 bytes or hash exceeds 32 bytes", d.Kind)
		}
	}
	if len(m.After) > maxName {
		return errors.New("cursor of the exchange exceeds 64 bytes")
	}
	for _, u := range m.Updates {
		if err := u.check(); err != nil {
			return errors.Annotate(err, "update")
		}
	}
	return nil
}

func (m Member) check() error {
	if m.Name == "" || len(m.Name) > maxName || len(m.Zone) > maxName || len(m.Region) > maxName {
		return errors.Errorf("member %q: name is empty, or name, zone or region exceeds 64 bytes", m.Name)
	}
	if !m.Control.IsValid() || m.Control.Addr().Zone() != "" || m.Data.Addr().Zone() != "" {
		return errors.Errorf("member %q: control or data address is invalid", m.Name)
	}
	if m.State > StateDead || m.Incarnation > maxIncarnation {
		return errors.Errorf("member %q: state is unknown or incarnation exceeds 2^62", m.Name)
	}
	return nil
}

// encodedSize returns an upper bound for the encoded size of m in bytes.
func (m Member) encodedSize() int {
	const fixed = 1 + 8 + 3*2 + 5 + 9 + 1 // Map, keys, string lengths, size, incarnation, state.
	size := fixed + len(m.Name) + len(m.Zone) + len(m.Region)
	for _, a := range []netip.AddrPort{m.Control, m.Data} {
		if a.Addr().Is4() {
			size += 1 + 4 + 2
		} else {
			size += 1 + 16 + 2
		}
	}
	return size
}

// encodedSize returns an upper bound for the encoded size of m in bytes, without its updates.
func (m Message) encodedSize() int {
	const fixed = 1 + 8 + 1 + 9 + 3 + 3 + 2 + 1 // Map, keys, kind, sequence, array heads, cursor, more.
	size := fixed + m.From.encodedSize() + len(m.After)
	if m.Target != nil {
		size += m.Target.encodedSize()
	}
	for _, d := range m.Digests {
		size += 1 + 3 + 2 + len(d.Kind) + 9 + 2 + len(d.Hash)
	}
	return size
}
