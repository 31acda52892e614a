package entry

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/rendezvous"
)

const (
	hintsPerMessage = 22   // keeps a message smaller than one datagram
	hintQueueLimit  = 4096 // hints queued for one member; a lost hint costs a search for the host
)

// hintMessage carries pins whose host is not the first guess of the receiver.
type hintMessage struct {
	Pins []hint `cbor:"1,keyasint"`
}

// hint names the host of a flow by a hash of its name, because IDs differ between processes.
type hint struct {
	Key  []byte `cbor:"1,keyasint"`
	Host uint32 `cbor:"2,keyasint"`
}

// encodedKeySize is the size of an encoded key in bytes: two addresses of 16, two ports of 2 and the protocol.
const encodedKeySize = 37

func encodeKey(k *packet.Key) []byte {
	b := make([]byte, 0, encodedKeySize)
	b = append(append(b, k.Source[:]...), k.Destination[:]...)
	b = binary.BigEndian.AppendUint16(b, k.SourcePort)
	b = binary.BigEndian.AppendUint16(b, k.DestinationPort)
	return append(b, k.Protocol)
}

func decodeKey(b []byte) (packet.Key, bool) {
	if len(b) != encodedKeySize {
		return packet.Key{}, false
	}
	return packet.Key{
		Source: [16]byte(b), Destination: [16]byte(b[16:]),
		SourcePort: binary.BigEndian.Uint16(b[32:]), DestinationPort: binary.BigEndian.Uint16(b[34:]),
		Protocol: b[36],
	}, true
}

func hostHash(name string) uint32 { return uint32(rendezvous.Hash(name) >> 32) }

// hintQueue holds hints until the next flush, so that several share a message.
type hintQueue struct {
	byMember map[string][]hint
}

// add queues a hint and reports whether there was room for it.
func (q *hintQueue) add(to string, h hint) bool {
	if len(q.byMember[to]) >= hintQueueLimit {
		return false
	}
	if q.byMember == nil {
		q.byMember = map[string][]hint{}
	}
	q.byMember[to] = append(q.byMember[to], h)
	return true
}

func (q *hintQueue) empty() bool { return len(q.byMember) == 0 }

// queueHint queues a hint about a pin of this entry VM for the backup of the flow, or for the owner when that is
// another VM.
func (e *Engine) queueHint(_ time.Duration, s *fleet.Service, k *packet.Key, h *fleet.Host) {
	owner, backup, own := e.groups.owner(s.ID, k)
	to := backup
	if !own {
		to = owner
	}
	e.addHint(to, k, h.Name)
}

// addHint queues a hint for a member, unless to is nil or this entry VM.
func (e *Engine) addHint(to *member.Member, k *packet.Key, host string) {
	if to == nil || to.Name == e.Self.Name {
		return
	}
	if !e.hints.add(to.Name, hint{Key: encodeKey(k), Host: hostHash(host)}) {
		e.Counters.Add("dropped-hint-queue-full", 1)
	}
}

// flushHints sends up to perMember messages to each member and drops the hints for members that are not live.
func (e *Engine) flushHints(perMember int) {
	// The order of a map would make runs with the same seed differ.
	for _, name := range slices.Sorted(maps.Keys(e.hints.byMember)) {
		list := e.hints.byMember[name]
		to, ok := e.members.Get(name)
		if !ok || !to.Live() {
			delete(e.hints.byMember, name)
			continue
		}
		for range perMember {
			n := min(len(list), hintsPerMessage)
			if n == 0 {
				break
			}
			e.sendHints(to, list[:n])
			list = list[n:]
		}
		e.hints.byMember[name] = list
		if len(list) == 0 {
			delete(e.hints.byMember, name)
		}
	}
}

func (e *Engine) sendHints(to member.Member, list []hint) {
	b, err := cbor.Marshal(hintMessage{Pins: list})
	if err != nil {
		e.Logger.Error("message-not-encoded", zap.Error(err))
		return
	}
	e.Send(to, KindHint, b)
	e.Counters.Add("hints-sent", int64(len(list)))
}

// learnHints passes the hints of a message to the flow table.
func (e *Engine) learnHints(now time.Duration, m hintMessage) {
	for _, p := range m.Pins {
		k, ok := decodeKey(p.Key)
		if !ok {
			e.Counters.Add("messages-refused", 1)
			continue
		}
		s := e.catalog.Lookup(&k)
		if s == nil {
			continue
		}
		for _, h := range s.Hosts {
			if hostHash(h.Name) == p.Host {
				e.flows.Learn(now, s, &k, h.ID)
				e.Counters.Add("hints-learned", 1)
				break
			}
		}
	}
}

// handOver is the state of the walk over the pins after a change of owners; each tick takes one step of it.
type handOver struct {
	active   bool
	repeat   bool // owners changed during the walk, so another one follows
	position int  // where the next step begins; zero is the start of the flow table
}

// restart starts a walk, or another one after the current one.
func (h *handOver) restart() {
	h.repeat = h.active
	h.active = true
}

// releasePins takes one step of the walk: it removes pins that other entry VMs own now, and queues hints for the new
// owners.
func (e *Engine) releasePins(now time.Duration) {
	w := &e.handOver
	if !w.active {
		return
	}
	owns := func(service uint32, k *packet.Key) bool {
		_, _, own := e.groups.owner(service, k)
		return own
	}
	sendHint := func(k *packet.Key, service, host uint32) {
		owner, _, _ := e.groups.owner(service, k)
		if h := e.hostByID(service, host); h != nil {
			e.addHint(owner, k, h.Name)
		}
	}
	w.position = e.flows.Release(now, w.position, owns, sendHint)
	if w.position == 0 {
		w.active, w.repeat = w.repeat, false
	}
}

func (e *Engine) hostByID(service, host uint32) *fleet.Host {
	for _, s := range e.catalog.Services() {
		if s.ID != service {
			continue
		}
		for _, h := range s.Hosts {
			if h.ID == host {
				return h
			}
		}
	}
	return nil
}
