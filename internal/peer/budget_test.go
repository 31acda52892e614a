package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against hints and reports that use up the budget for membership messages and documents.
func TestBudgetDropsHintsBeforeReports(t *testing.T) {
	is := is.New(t)
	b := &budget{rate: 1000, burst: 5000, tokens: 5000}
	last := map[Kind]int{}
	for i := range 30 {
		for _, k := range []Kind{Hint, Report, Membership, Document} {
			if b.charge(0, k, 100) {
				last[k] = i
			}
		}
	}
	is.True(last[Hint] < last[Report])
	is.True(last[Report] < last[Membership])
	is.Equal(last[Membership], 29) // Never dropped.
	is.Equal(last[Document], 29)
	is.True(!b.charge(0, Report, 100))
	is.True(b.charge(4*time.Second, Report, 100)) // The bucket has refilled above zero, but not to half.
	is.True(!b.charge(4*time.Second, Hint, 100))
}

// Guards against handshakes and retransmissions that are not charged, and against messages that are charged twice.
func TestBudgetChargesOverheadOnce(t *testing.T) {
	is := is.New(t)
	b := &budget{rate: 0, burst: 5000, tokens: 5000}
	is.True(b.charge(0, Membership, 1000))
	b.chargeSent(1200)
	is.Equal(b.tokens, 3800.0)
	is.True(b.charge(0, Membership, 500))
	b.refund(500)
	is.Equal(b.tokens, 3800.0)
	b.chargeSent(100_000)
	is.Equal(b.tokens, -5000.0)
}

// Guards against a link that sends messages without charging its budget.
func TestLinkAppliesBudget(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certify(t, dir, "a", "b")
	a := start(t, dir, "a", func(c *Config) { c.BytesPerSecond, c.BurstBytes = 1, 1 })
	b := start(t, dir, "b", nil)
	for range 20 {
		a.Send(b.peer(), Message{Kind: Hint, Body: make([]byte, 100)})
		a.Send(b.peer(), Message{Kind: Report, Body: make([]byte, 100)})
		a.Send(b.peer(), Message{Kind: Membership, Body: make([]byte, 100)})
	}
	eventually(t, "pings", func() bool { return len(b.received()) == 20 })
	for _, m := range b.received() {
		is.Equal(m.Kind, Membership)
	}
	is.Equal(a.count("peer-dropped-budget-hint"), int64(20))
	is.Equal(a.count("peer-dropped-budget-report"), int64(20))
}

// FuzzDecode guards against input that crashes the decoder, and against messages that change when they are encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	data, _ := Encode(Message{From: "a", Kind: Hint, Body: []byte("body")})
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		once, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		redecoded, err := Decode(once)
		if err != nil || redecoded.From != m.From || redecoded.Kind != m.Kind || !bytes.Equal(redecoded.Body, m.Body) {
			t.Fatalf("encoding and decoding %+v returned %+v, error %v", m, redecoded, err)
		}
	})
}
