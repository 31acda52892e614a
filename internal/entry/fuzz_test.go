package entry

import (
	"runtime"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/masticspar/masticspar/internal/docsync"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/member"
)

// allocated returns the bytes that f allocates. Allocations of other goroutines count too, so bounds are generous.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a datagram that crashes the daemon, causes more than one datagram or takes unbounded memory, at both
// sockets and from callers, hosts and other entry VMs.
func FuzzDatagram(f *testing.F) {
	te := newTestEngine(f)
	te.fill(4)
	own, foreign := te.flows[0], te.unused(false)
	peer := testMember(1).Data
	for _, template := range [][]byte{te.syn, te.synACK, te.request, te.response} {
		for _, flow := range []testFlow{own, foreign} {
			b := slices.Clone(flow.setAddresses(template))
			inner := b[geneve.HeaderSize:]
			f.Add(false, b)
			f.Add(true, geneve.Append(nil, inner, int(b[6]), 1, own.source().Addr()))
			f.Add(true, geneve.Append(nil, inner, int(b[6]), maxHops, own.source().Addr()))
			f.Add(true, geneve.Append(nil, inner, int(b[6]), maxHops+1, own.source().Addr()))
			f.Add(false, b[:len(b)/2])
		}
	}
	const bound = 1 << 20 // bytes: a chunk of the flow table and the allocations of the runtime
	f.Fuzz(func(t *testing.T, fromPeer bool, datagram []byte) {
		source := own.source()
		if fromPeer {
			source = peer
		}
		before := te.toHost + te.toCaller + te.toPeer
		n := allocated(func() { te.engine.HandleDatagram(te.now, source, fromPeer, datagram) })
		if n > bound {
			t.Errorf("%d bytes allocated for a datagram of %d bytes, want at most 1 MiB", n, len(datagram))
		}
		if sent := te.toHost + te.toCaller + te.toPeer - before; sent > 1 {
			t.Errorf("%d datagrams sent for one received, want at most 1", sent)
		}
	})
}

// Guards against a message from another entry VM that crashes the daemon or makes it allocate far more than its size.
func FuzzDecode(f *testing.F) {
	te := newTestEngine(f)
	te.fill(1)
	encoded := func(v any) []byte {
		b, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		return b
	}
	m, err := member.Encode(
		member.Message{Kind: member.Ping, From: testMember(1), Updates: []member.Member{testMember(2)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint8(KindMembership), m)
	d := &docsync.Document{Kind: fleet.Inventory, Bytes: te.engine.catalog.Document(fleet.Inventory)}
	for _, c := range []docsync.Message{
		{Query: &docsync.Query{Round: 1}},
		{Digest: &docsync.Digest{Round: 1, Ready: true, Versions: te.engine.catalog.Versions()}},
		{Request: &docsync.Request{Kind: fleet.Rules, After: 1}},
		{Document: d},
	} {
		f.Add(uint8(KindConfiguration), encoded(c))
	}
	report := te.engine.model.Report(te.now)
	r, err := report.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint8(KindReport), r)
	f.Add(uint8(KindHint), encoded(hintMessage{Pins: []hint{{Key: make([]byte, encodedKeySize), Host: 1}}}))
	f.Add(uint8(KindHint), []byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // an array of 2^64-1 elements
	f.Add(uint8(0), []byte{})
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		n := allocated(func() {
			if m, err := Decode("entry-1", Kind(kind), body); (m == nil) == (err == nil) {
				t.Errorf("message %v and error %v, want exactly one of them", m, err)
			}
		})
		if bound := uint64(1<<20 + 256*len(body)); n > bound {
			t.Errorf("%d bytes allocated for a message of %d bytes, want at most %d", n, len(body), bound)
		}
	})
}
