package placement

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticspar/masticspar/internal/flowevent"
)

// referenceChoices are the digests of the choices that commit 2dd5970 makes in quietChoices, by seed.
var referenceChoices = [3]uint64{0x5237a1868d7f80fa, 0x4f40e04c50bdb78, 0x7869de162a9f45ab}

// quietChoices returns a digest of 20,000 choices among 60 servers of three zones. Three servers are slow, some refuse
// handshakes, and one request in 40 takes 150 ms, but there is no overload.
func quietChoices(m *Model, seed uint64) uint64 {
	random := rand.New(rand.NewPCG(seed, 3))
	var zones []string
	for i := range 60 {
		zones = append(zones, []string{localZone, "wa-south", "wa-north"}[i%3])
	}
	hosts := lifetimes(zones...)
	hosts[4].ColdUntil = 90 * time.Second
	type answer struct {
		at, elapsed time.Duration
		token       uint32
	}
	var answers []answer
	var digest xxhash.Digest
	digest.Reset()
	target := 400 * time.Millisecond
	for now := time.Second; now < 200*time.Second; now += 10 * time.Millisecond {
		kept := answers[:0]
		for _, a := range answers {
			if a.at <= now {
				m.Observe(a.at, flowevent.Event{Kind: flowevent.Answered, Host: a.token, Elapsed: a.elapsed})
				m.Observe(a.at, flowevent.Event{Kind: flowevent.Closed, Host: a.token})
			} else {
				kept = append(kept, a)
			}
		}
		answers = kept
		var tried []uint32
		if random.IntN(50) == 0 {
			tried = []uint32{uint32(1 + random.IntN(60))}
		}
		token := m.Pick(now, hosts, Flow{
			Hash: random.Uint64(), TargetLatency: target, Urgent: random.IntN(2) == 0, Tried: tried,
		}).Host.Token
		_, _ = digest.Write(binary.LittleEndian.AppendUint32(nil, token))
		m.Observe(now, flowevent.Event{Kind: flowevent.Opened, Host: token})
		if random.IntN(100) == 0 {
			m.Observe(now, flowevent.Event{Kind: flowevent.Refused, Host: token})
			m.Observe(now, flowevent.Event{Kind: flowevent.Closed, Host: token})
			continue
		}
		m.Observe(now, flowevent.Event{Kind: flowevent.Accepted, Host: token, Elapsed: 0})
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: token})
		elapsed := time.Duration(10+random.IntN(20)) * time.Millisecond
		if random.IntN(40) == 0 {
			elapsed = 150 * time.Millisecond
		}
		if token <= 3 {
			elapsed *= 12
		}
		answers = append(answers, answer{now + elapsed, elapsed, token})
	}
	return digest.Sum64()
}

// Guards against a change of the choice of servers while there is no overload.
func TestQuietChoicesAreUnchanged(t *testing.T) {
	for seed, want := range referenceChoices {
		m := Model{AvailabilityZone: localZone, noPaces: true}
		if got := quietChoices(&m, uint64(seed)); got != want {
			t.Errorf("seed %d: digest %#x of the choices, want %#x", seed, got, want)
		}
	}
}
