package entry

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/capacity"
	"github.com/masticspar/masticspar/internal/docsync"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/strictcbor"
)

// decoder rejects unknown fields, arrays of more than 4,096 elements and more than 8 nested levels.
var decoder = strictcbor.NewDecoder(4096, 8)

// Message is a decoded message from another entry VM.
type Message struct {
	// From is the authenticated name of the sender.
	From string
	// Kind determines which of the bodies is set.
	Kind Kind

	membership    member.Message
	configuration docsync.Message
	report        capacity.Report
	hints         hintMessage
}

// Decode decodes the body of a message. It may be called from any goroutine. The caller decodes before it takes the
// lock of the engine, because decoding a large document takes long.
func Decode(from string, kind Kind, body []byte) (*Message, error) {
	m := &Message{From: from, Kind: kind}
	var err error
	switch kind {
	case KindMembership:
		m.membership, err = member.Decode(body)
	case KindConfiguration:
		err = decoder.Unmarshal(body, &m.configuration)
		m.configuration.Prepare(from)
	case KindReport:
		m.report, err = capacity.Decode(body)
	case KindHint:
		err = decoder.Unmarshal(body, &m.hints)
	default:
		err = errors.NotValidf("message kind %d", kind)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "decoding message of kind %d from %s", kind, from)
	}
	return m, nil
}

// HandleMessage handles a message from another entry VM.
func (e *Engine) HandleMessage(now time.Duration, m *Message) {
	e.now = now
	switch m.Kind {
	case KindMembership:
		e.members.Handle(now, m.From, m.membership)
	case KindConfiguration:
		e.syncer.Handle(now, m.From, m.configuration)
	case KindReport:
		e.model.Merge(now, m.From, m.report)
	case KindHint:
		e.learnHints(now, m.hints)
	}
	e.clearStale(now)
}

func (e *Engine) sendMembership(to member.Member, m member.Message) {
	b, err := member.Encode(m)
	if err != nil {
		e.Logger.Error("message-not-encoded", zap.Error(err))
		return
	}
	e.Send(to, KindMembership, b)
}

// sendConfiguration sends a message to a member by name or to a contact by address.
func (e *Engine) sendConfiguration(to string, m docsync.Message) {
	b, err := cbor.Marshal(m)
	if err != nil {
		e.Logger.Error("message-not-encoded", zap.Error(err))
		return
	}
	if known, ok := e.members.Get(to); ok {
		e.Send(known, KindConfiguration, b)
		return
	}
	if address, err := netip.ParseAddrPort(to); err == nil {
		e.Send(member.Member{Control: address}, KindConfiguration, b)
		return
	}
	e.Send(member.Member{Name: to}, KindConfiguration, b)
}

func (e *Engine) peerNames() []string {
	var names []string
	for _, m := range e.members.Active() {
		if m.Name != e.Self.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

// digests returns the active versions, which pings carry.
func (e *Engine) digests() []member.Digest {
	v := e.catalog.Versions()
	list := make([]member.Digest, 0, len(fleet.Kinds))
	for _, kind := range fleet.Kinds {
		version := v.Of(kind)
		list = append(list, member.Digest{
			Kind: kind.String(), Version: version.Number, Hash: binary.BigEndian.AppendUint64(nil, version.Hash),
		})
	}
	return list
}

// observeDigests passes the active versions of another entry VM to the syncer. Digests with a malformed hash are
// ignored.
func (e *Engine) observeDigests(from member.Member, digests []member.Digest) {
	var d docsync.Digest
	for _, g := range digests {
		if len(g.Hash) != 8 {
			continue
		}
		v := fleet.Version{Number: g.Version, Hash: binary.BigEndian.Uint64(g.Hash)}
		switch g.Kind {
		case fleet.Inventory.String():
			d.Versions.Inventory = v
		case fleet.Rules.String():
			d.Versions.Rules = v
		}
	}
	e.syncer.Handle(e.now, from.Name, docsync.Message{Digest: &d})
}
