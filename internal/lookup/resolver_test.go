package lookup

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
)

var sender = netip.MustParseAddrPort("10.1.0.10:7720")

func retiredRecord(name string) registry.Record {
	return registry.Record{First: history.Position{Era: 1 << 40, Revision: 1 << 40}, Replaced: true, Host: registry.Host{
		Name: name, Number: 1 << 63, Service: strings.Repeat("s", 24), AvailabilityZone: strings.Repeat("z", 16), Slots: 2,
		Address: netip.MustParseAddrPort("10.128.255.255:65535"), Started: 1 << 41, Cold: time.Hour, Sequence: 1 << 40,
	}}
}

// Guards against sending a query for each packet of a flow, and against never querying a token again.
func TestTokenIsQueriedOncePerRetryDelay(t *testing.T) {
	is := is.New(t)
	var queries [][]uint32
	r := Resolver{Query: func(m *Message) { queries = append(queries, m.Tokens) }}
	for range 3 {
		r.Resolve(0, 7)
		r.Tick(0)
	}
	is.Equal(queries, [][]uint32{{7}})
	r.Tick(DefaultRetryDelay)
	r.Resolve(DefaultRetryDelay, 7)
	r.Tick(DefaultRetryDelay)
	is.Equal(len(queries), 2)
}

// Guards against a query or reply that does not fit into a datagram, and against tokens that are never queried because
// there are too many for one message.
func TestTokensAreSplitIntoMessages(t *testing.T) {
	is := is.New(t)
	tokens := 0
	r := Resolver{Find: func(uint32) (registry.Record, bool) { return retiredRecord("i-0123456789abcdef"), true }}
	r.Query = func(m *Message) {
		tokens += len(m.Tokens)
		replies := r.Replies(m)
		is.Equal(len(replies), 1)
		reply := replies[0]
		reply.From = sender
		b, err := Encode(reply)
		is.NoErr(err)
		reply, err = Decode(b)
		is.NoErr(err)
		is.Equal(len(reply.Servers), len(m.Tokens))
	}
	for i := range uint32(20) {
		r.Resolve(0, i)
	}
	r.Tick(0)
	is.Equal(tokens, 20)
}

// Guards against records with long names, zones or services whose reply is refused, so that none of its tokens is ever
// resolved.
func TestLongRecordsFitIntoMessages(t *testing.T) {
	is := is.New(t)
	long := retiredRecord(strings.Repeat("n", 64))
	long.Host.Service, long.Host.AvailabilityZone = strings.Repeat("s", 128), strings.Repeat("z", 128)
	unusable := retiredRecord(strings.Repeat("n", 2*maxMessageBytes))
	r := Resolver{Find: func(token uint32) (registry.Record, bool) {
		if token == 3 {
			return unusable, true
		}
		return long, true
	}}
	servers := 0
	for _, reply := range r.Replies(&Message{Tokens: []uint32{1, 2, 3, 4, 5, 6, 7, 8}}) {
		reply.From = sender
		b, err := Encode(reply)
		is.NoErr(err)
		reply, err = Decode(b)
		is.NoErr(err)
		servers += len(reply.Servers)
	}
	is.Equal(servers, 7)
}

// Guards against unbounded memory use by packets with random tokens.
func TestQueriedTokensAreBounded(t *testing.T) {
	var r Resolver
	r.Query = func(*Message) {}
	for i := range uint32(10 * maxQueried) {
		r.Resolve(0, i)
	}
	if len(r.queriedAt) > maxQueried || len(r.pending) > maxQueried {
		t.Fatalf("%d tokens queried and %d pending, want at most 1024 each", len(r.queriedAt), len(r.pending))
	}
}

// Guards against accepting a record without an address to forward to, and against sending an empty reply.
func TestIncompleteRecordIsRejected(t *testing.T) {
	is := is.New(t)
	b, err := Encode(&Message{From: sender, Servers: []registry.Record{{Host: registry.Host{Name: "i-1"}}}})
	is.NoErr(err)
	_, err = Decode(b)
	is.True(err != nil)
	r := Resolver{Find: func(uint32) (registry.Record, bool) { return registry.Record{}, false }}
	is.Equal(len(r.Replies(&Message{Tokens: []uint32{1}})), 0)
}

// Guards against a panic on a malformed message of another process.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{From: sender, Tokens: []uint32{1, 2}}, {From: sender, Servers: []registry.Record{retiredRecord("i-1")}},
	} {
		b, err := Encode(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Decode(b) })
}
