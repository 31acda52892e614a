package lookup

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/registry"
)

var sender = netip.MustParseAddrPort("10.1.0.10:7720")

func retiredRecord(name string) registry.Record {
	return registry.Record{FirstRevision: 1 << 40, Replaced: true, Host: registry.Host{
		Name: name, Number: 1 << 63, Service: strings.Repeat("s", 24), AvailabilityZone: strings.Repeat("z", 16), Slots: 2,
		Address: netip.MustParseAddrPort("10.128.255.255:65535"), Started: 1 << 41, Cold: time.Hour,
	}}
}

// Guards against a question for each packet of a flow, and against a token that is never asked for again.
func TestTokenIsRequestedOncePerRetryDelay(t *testing.T) {
	is := is.New(t)
	var asked [][]uint32
	a := Resolver{Query: func(m *Message) { asked = append(asked, m.Tokens) }}
	for range 3 {
		a.Resolve(0, 7)
		a.Tick(0)
	}
	is.Equal(asked, [][]uint32{{7}})
	a.Tick(DefaultRetryDelay)
	a.Resolve(DefaultRetryDelay, 7)
	a.Tick(DefaultRetryDelay)
	is.Equal(len(asked), 2)
}

// Guards against a question or an answer that does not fit a datagram, and against tokens that are never asked for.
func TestTokensAreSplitIntoMessages(t *testing.T) {
	is := is.New(t)
	tokens := 0
	a := Resolver{Find: func(uint32) (registry.Record, bool) { return retiredRecord("i-0123456789abcdef"), true }}
	a.Query = func(m *Message) {
		tokens += len(m.Tokens)
		answer := a.Reply(m)
		answer.From = sender
		b, err := Encode(answer)
		is.NoErr(err)
		answer, err = Decode(b)
		is.NoErr(err)
		is.Equal(len(answer.Servers), len(m.Tokens))
	}
	for i := range uint32(20) {
		a.Resolve(0, i)
	}
	a.Tick(0)
	is.Equal(tokens, 20)
}

// Guards against memory that packets with random tokens take.
func TestRequestedTokensAreBounded(t *testing.T) {
	var a Resolver
	a.Query = func(*Message) {}
	for i := range uint32(10 * maxRequested) {
		a.Resolve(0, i)
	}
	if len(a.requestedAt) > maxRequested || len(a.pending) > maxRequested {
		t.Fatalf("%d asked, %d pending", len(a.requestedAt), len(a.pending))
	}
}

// Guards against an answer that names no address to forward to.
func TestIncompleteReply(t *testing.T) {
	is := is.New(t)
	b, err := Encode(&Message{From: sender, Servers: []registry.Record{{Host: registry.Host{Name: "i-1"}}}})
	is.NoErr(err)
	_, err = Decode(b)
	is.True(err != nil)
	a := Resolver{Find: func(uint32) (registry.Record, bool) { return registry.Record{}, false }}
	is.Equal(a.Reply(&Message{Tokens: []uint32{1}}), nil)
}

// Guards against a crash on what another process sends.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{{From: sender, Tokens: []uint32{1, 2}}, {From: sender, Servers: []registry.Record{retiredRecord("i-1")}}} {
		b, err := Encode(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Decode(b) })
}
