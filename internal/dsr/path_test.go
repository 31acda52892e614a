package dsr

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/standin/schedule"
)

// replay drives an engine with callers that retransmit after 0.2, 0.6, 1.4 and 3.0 s, in virtual time. Their packets
// pass a queue before they reach the entry VM, and can be lost on each part of the path.
type replay struct {
	*testEngine
	random      *rand.Rand
	calls       schedule.Queue
	queueDelay  func(now time.Duration) time.Duration // of the link to the entry VM
	busyUntil   time.Duration                         // when the last packet leaves that queue
	pausedUntil time.Duration                         // packets that arrive earlier are handled at this time
	loss        float64
	service     time.Duration // the longest response time of a server
	dark        map[uint32]time.Duration
	resets      map[string]int // by reason
	darkResets  int
	darkWaits   []time.Duration // from the request to the reset
}

func newReplay(t *testing.T, seed uint64, hosts int) *replay {
	return &replay{
		testEngine: newTestEngine(t, hosts), random: rand.New(rand.NewPCG(seed, seed)),
		queueDelay: func(time.Duration) time.Duration { return 0 }, service: 60 * time.Millisecond,
		dark: map[uint32]time.Duration{}, resets: map[string]int{},
	}
}

func (r *replay) after(d time.Duration, do func()) { r.calls.At(r.now+d, do) }

func (r *replay) lost() bool { return r.random.Float64() < r.loss }

// toEntry passes a packet to the engine after the delay of the queue and calls forwarded if it reaches its server.
func (r *replay) toEntry(p conntrack.Packet, reset func(), forwarded func()) {
	if r.lost() {
		return
	}
	arrival := max(r.now+time.Millisecond+r.queueDelay(r.now), r.busyUntil, r.pausedUntil)
	r.busyUntil = arrival
	r.after(arrival-r.now, func() {
		v := r.HandlePacket(r.now, &p)
		if v.Action == Reset {
			r.resets[v.Reason]++
			reset()
			return
		}
		if darkSince, ok := r.dark[p.Token]; (!ok || r.now < darkSince) && !r.lost() {
			forwarded()
		}
	})
}

// run plays a flow whose caller sends a request, waits for the response, and continues after a pause.
func (r *replay) run(c *caller) {
	open := true
	var request func()
	request = func() {
		answered, sentAt := false, r.now
		sequence := c.sequence
		c.sequence += 100
		reset := func() {
			if _, ok := r.dark[c.token]; ok {
				r.darkResets++
				r.darkWaits = append(r.darkWaits, r.now-sentAt)
			}
			open = false
		}
		answer := func() {
			if answered || !open || r.lost() {
				return
			}
			answered = true
			c.acknowledged += 500
			r.toEntry(conntrack.Packet{
				Key: c.Key, Token: c.token, ACK: true, Sequence: c.sequence, Acknowledged: c.acknowledged,
			}, reset, func() {})
			r.after(time.Duration(r.random.Int64N(int64(2*time.Second))), request)
		}
		send := func() {
			if answered || !open {
				return
			}
			r.toEntry(conntrack.Packet{
				Key: c.Key, Token: c.token, ACK: true, Sequence: sequence, Acknowledged: c.acknowledged, Length: 100,
			}, reset, func() { r.after(time.Duration(r.random.Int64N(int64(r.service))), answer) })
		}
		for _, at := range []time.Duration{0, 200, 600, 1400, 3000} {
			r.after(at*time.Millisecond, send)
		}
	}
	r.after(time.Duration(r.random.Int64N(int64(time.Second))), request)
}

func (r *replay) play(flows int, d time.Duration) {
	for i := range flows {
		c := r.caller(byte(i))
		c.open()
		r.run(c)
	}
	nextTick := r.now
	end := r.now + d
	for do, due := r.calls.Next(end); do != nil; do, due = r.calls.Next(end) {
		for nextTick <= due {
			r.Tick(nextTick)
			nextTick += TickPeriod
		}
		r.now = due
		do()
	}
}

// Replays a large fleet in which a quarter of the servers stops responding while their entries are still listed: one
// entry VM sees a single flow of most servers. Their callers must be able to retry within a time limit of 2 s.
func TestFlowsOfSilentServersAreReset(t *testing.T) {
	is := is.New(t)
	r := newReplay(t, 1, 40)
	for i, h := range r.Registry.Hosts("standdesk") {
		if i%4 == 0 {
			r.dark[h.Token] = r.now + 5*time.Second
		}
	}
	r.play(40, 12*time.Second)
	is.True(r.darkResets >= 5)
	is.Equal(r.darkResets, r.resets[ReasonHostSilent])
	is.Equal(len(r.resets), 1)
	for _, d := range r.darkWaits {
		is.True(d < 1500*time.Millisecond)
	}
}

// Guards against resetting a flow whose server is listed and responds within 0.5 s: callers retransmit because the
// queue of a narrow link delays packets by up to 3 s, because up to 5% of the packets are lost in each direction, or
// because the VM pauses, whether the VM sees one flow or hundreds.
func TestRespondingServersAreNeverReset(t *testing.T) {
	for seed := range uint64(120) {
		r := newReplay(t, seed, 12)
		longest := time.Duration(r.random.Int64N(int64(3 * time.Second)))
		period := time.Duration(1+r.random.IntN(8)) * time.Second
		kind := seed % 4
		r.queueDelay = func(now time.Duration) time.Duration {
			switch {
			case kind == 0:
				return 0
			case kind == 1: // A queue that fills and drains.
				return time.Duration(float64(longest) * float64(now%period) / float64(period))
			case now%period < period/4: // Bursts that fill the queue at once.
				return longest
			}
			return 0
		}
		r.loss = []float64{0, 0.01, 0.05}[seed%3]
		r.service = []time.Duration{60, 200, 500}[seed/3%3] * time.Millisecond
		if seed%5 == 0 {
			var pause func()
			pause = func() {
				r.pausedUntil = r.now + time.Duration(r.random.Int64N(int64(3*time.Second)))
				r.after(5*time.Second, pause)
			}
			r.after(5*time.Second, pause)
		}
		r.play([]int{1, 12, 60, 250}[seed/7%4], 30*time.Second)
		if len(r.resets) > 0 {
			t.Errorf("seed %d: got resets %v, want none (queue of up to %v, loss %v)", seed, r.resets, longest, r.loss)
		}
	}
}

// Guards against a verdict without one of the pieces of evidence.
func TestLossNeedsAllEvidence(t *testing.T) {
	is := is.New(t)
	complete := lossEvidence{
		idempotent: true, silentFor: 2 * time.Second, waited: 1400 * time.Millisecond, repeats: 3,
		targetLatency: 400 * time.Millisecond, promptServers: minPromptServers,
	}
	is.Equal(complete.reason(), ReasonHostSilent)
	complete.timeout = complete.waited + complete.targetLatency
	is.Equal(complete.reason(), ReasonHostSilent)
	for name, change := range map[string]func(*lossEvidence){
		"requests must not be repeated":  func(v *lossEvidence) { v.idempotent = false },
		"server responded meanwhile":     func(v *lossEvidence) { v.silentFor = time.Second },
		"short wait":                     func(v *lossEvidence) { v.waited = 900 * time.Millisecond },
		"short wait for the route":       func(v *lossEvidence) { v.targetLatency = 500 * time.Millisecond },
		"one retransmission":             func(v *lossEvidence) { v.repeats = 1 },
		"no time for another attempt":    func(v *lossEvidence) { v.timeout = v.waited + v.targetLatency - 1 },
		"path is delayed, lossy or idle": func(v *lossEvidence) { v.promptServers = minPromptServers - 1 },
	} {
		v := complete
		change(&v)
		if got := v.reason(); got != "" {
			t.Errorf("%s: got reason %q, want none", name, got)
		}
	}
	complete = lossEvidence{
		idempotent: true, removed: true, removedFor: removedTimeout, silentFor: 600 * time.Millisecond,
		waited: 600 * time.Millisecond, repeats: minRepeats, promptServers: 1,
	}
	is.Equal(complete.reason(), ReasonHostRemoved)
	for name, change := range map[string]func(*lossEvidence){
		"requests must not be repeated":  func(v *lossEvidence) { v.idempotent = false },
		"listed":                         func(v *lossEvidence) { v.removed = false },
		"just removed":                   func(v *lossEvidence) { v.removedFor = removedTimeout - 1 },
		"server responded meanwhile":     func(v *lossEvidence) { v.silentFor = 500 * time.Millisecond },
		"one retransmission":             func(v *lossEvidence) { v.repeats = minRepeats - 1 },
		"path is delayed, lossy or idle": func(v *lossEvidence) { v.promptServers = 0 },
	} {
		v := complete
		change(&v)
		if got := v.reason(); got != "" {
			t.Errorf("removed, %s: got reason %q, want none", name, got)
		}
	}
}
