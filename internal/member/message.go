package member

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// MaxMessage is the greatest size of an encoded message; it fits a QUIC datagram on a path with an MTU of 1280.
	MaxMessage = 1100

	maxName        = 64
	maxDigests     = 4
	maxDigestName  = 16
	maxDigestHash  = 32
	maxUpdates     = 32
	maxIncarnation = 1 << 62 // Leaves room to raise an incarnation that was received.
)

// State is what a process believes about a member.
type State uint8

// The states, in the order in which a later one replaces an earlier one of the same incarnation.
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
	// Name is unique over the fleet and equals the name in the member's certificate.
	Name string `cbor:"1,keyasint"`
	// Zone is the availability zone.
	Zone string `cbor:"2,keyasint,omitempty"`
	// Region is the region; only members of the same region share flows.
	Region string `cbor:"3,keyasint,omitempty"`
	// Size is the relative size of the VM, the weight in rendezvous hashing.
	Size uint32 `cbor:"4,keyasint,omitempty"`
	// Control is where the member receives messages.
	Control netip.AddrPort `cbor:"5,keyasint"`
	// Data is where the member receives forwarded packets.
	Data netip.AddrPort `cbor:"6,keyasint"`
	// Incarnation is the start time of the process in milliseconds, raised by the member to refute an update.
	Incarnation uint64 `cbor:"7,keyasint"`
	// State is the state in this incarnation.
	State State `cbor:"8,keyasint,omitempty"`
}

// Live reports whether the member is expected to answer.
func (m Member) Live() bool { return m.State != StateDead }

// Digest names the version of a document that a member has in force; the list does not interpret it.
type Digest struct {
	// Kind is the kind of document.
	Kind string `cbor:"1,keyasint"`
	// Version is the accepted version.
	Version uint64 `cbor:"2,keyasint"`
	// Hash is a hash of the content.
	Hash []byte `cbor:"3,keyasint,omitempty"`
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping            Kind = iota + 1 // Asks for an Ack.
	Ack                             // Answers a Ping or a PingRequest.
	PingRequest                     // Asks the receiver to ping Target and to pass the Ack on.
	ExchangeRequest                 // Asks for the members whose names follow After.
	Exchange                        // Answers an ExchangeRequest.
	Notice                          // Carries urgent updates, such as a leave, and is not answered.
)

// Message is what members send to each other.
type Message struct {
	// Kind is the kind of the message.
	Kind Kind `cbor:"1,keyasint"`
	// Sequence pairs an answer with its question.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
	// From is the sender as it sees itself.
	From Member `cbor:"3,keyasint"`
	// Target is the member to ping in a PingRequest.
	Target *Member `cbor:"4,keyasint,omitempty"`
	// Digests are the documents of the sender.
	Digests []Digest `cbor:"5,keyasint,omitempty"`
	// Updates are what the sender knows about other members.
	Updates []Member `cbor:"6,keyasint,omitempty"`
	// After is the name after which a page of an exchange starts.
	After string `cbor:"7,keyasint,omitempty"`
	// More says that an Exchange is not the last page.
	More bool `cbor:"8,keyasint,omitempty"`
}

var decoder = strictcbor.NewDecoder(maxUpdates, 5)

// Encode returns the CBOR form of m.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.Trace(err)
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
	return m, errors.Trace(m.check())
}

func (m Message) check() error {
	if m.Kind < Ping || m.Kind > Notice {
		return errors.Errorf("unknown kind %d", m.Kind)
	}
	if (m.Kind == PingRequest) != (m.Target != nil) {
		return errors.New("target does not match kind")
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
		return errors.Errorf("%d digests exceed %d", len(m.Digests), maxDigests)
	}
	for _, d := range m.Digests {
		if len(d.Kind) > maxDigestName || len(d.Hash) > maxDigestHash {
			return errors.Errorf("digest of %q is too long", d.Kind)
		}
	}
	if len(m.After) > maxName {
		return errors.New("cursor is too long")
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
		return errors.Errorf("member %q: name, zone or region is empty or too long", m.Name)
	}
	if !m.Control.IsValid() || m.Control.Addr().Zone() != "" || m.Data.Addr().Zone() != "" {
		return errors.Errorf("member %q: invalid address", m.Name)
	}
	if m.State > StateDead || m.Incarnation > maxIncarnation {
		return errors.Errorf("member %q: state or incarnation out of range", m.Name)
	}
	return nil
}

// encodedSize returns an upper bound for the encoded size of m.
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

// encodedSize returns an upper bound for the encoded size of m without its updates.
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
