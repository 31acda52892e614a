package tcp

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/packet"
)

// link connects two endpoints and loses, duplicates and reorders packets with a seeded generator.
type link struct {
	t           *testing.T
	random      *rand.Rand
	loss        float64
	duplication float64
	reordering  float64
	a, b        *Endpoint
	toA, toB    [][]byte
	now         time.Duration
}

func newLink(t *testing.T, seed uint64) *link {
	l := &link{t: t, random: rand.New(rand.NewPCG(seed, 1))}
	key := packet.NewKey(packet.TCP, netip.MustParseAddrPort("10.0.0.1:4000"), netip.MustParseAddrPort("198.51.100.1:80"))
	l.a = &Endpoint{Key: key, ISN: ISN(seed, &key, 0)}
	reverse := key.Reverse()
	l.b = &Endpoint{Key: reverse, ISN: ISN(seed+1, &reverse, 0)}
	l.a.Emit = func(s packet.Segment) { l.queue(&l.toB, s) }
	l.b.Emit = func(s packet.Segment) { l.queue(&l.toA, s) }
	return l
}

func (l *link) queue(q *[][]byte, s packet.Segment) {
	b, err := s.Bytes()
	if err != nil {
		l.t.Fatal(err)
	}
	for range 2 {
		if l.random.Float64() < l.loss {
			return
		}
		*q = append(*q, b)
		if n := len(*q); n > 1 && l.random.Float64() < l.reordering {
			i := l.random.IntN(n)
			(*q)[i], (*q)[n-1] = (*q)[n-1], (*q)[i]
		}
		if l.random.Float64() >= l.duplication {
			return
		}
	}
}

// step delivers the queued packets, then advances the time by 10 ms.
func (l *link) step() {
	toA, toB := l.toA, l.toB
	l.toA, l.toB = nil, nil
	for _, b := range toB {
		l.b.Handle(l.now, parse(l.t, b))
	}
	for _, b := range toA {
		l.a.Handle(l.now, parse(l.t, b))
	}
	l.now += 10 * time.Millisecond
	l.a.Tick(l.now)
	l.b.Tick(l.now)
}

func (l *link) runUntil(condition func() bool) {
	l.t.Helper()
	for end := l.now + 10*time.Minute; !condition(); l.step() {
		if l.now > end {
			l.t.Fatalf("condition not met within 10 minutes: a=%+v b=%+v", l.a, l.b)
		}
	}
}

func parse(t *testing.T, b []byte) *packet.Packet {
	t.Helper()
	p := &packet.Packet{}
	if err := p.Parse(b); err != nil {
		t.Fatal(err)
	}
	return p
}

func (l *link) establish() {
	l.t.Helper()
	l.a.Connect(l.now)
	l.runUntil(func() bool { return l.a.Established() && l.b.Established() })
	l.runUntil(func() bool { return len(l.toA)+len(l.toB) == 0 })
}

// Guards against received bytes that are missing, repeated or out of order, and against connections that never finish,
// on a path that loses, duplicates and reorders packets.
func TestTransferOverFaultyPath(t *testing.T) {
	for seed := range uint64(40) {
		is := is.New(t)
		l := newLink(t, seed)
		l.loss, l.duplication, l.reordering = 0.1, 0.1, 0.2
		request, response := make([]byte, 3000), make([]byte, 40_000)
		for i := range response {
			response[i] = byte(l.random.Uint32())
		}
		copy(request, response)
		var gotA, gotB []byte
		l.a.Connect(l.now)
		l.a.Write(l.now, request)
		l.runUntil(func() bool { gotB = append(gotB, l.b.Read()...); return len(gotB) >= len(request) })
		l.b.Write(l.now, response)
		l.b.Close(l.now)
		l.runUntil(func() bool { gotA = append(gotA, l.a.Read()...); return l.a.PeerClosed() })
		l.a.Close(l.now)
		l.runUntil(func() bool { return l.a.Done() && l.b.Done() })
		is.True(bytes.Equal(gotA, response)) // want the response unchanged
		is.True(bytes.Equal(gotB, request))  // want the request unchanged
		is.Equal(l.a.Cause, CauseFinished)
		is.Equal(l.b.Cause, CauseFinished)
	}
}

// Guards against an endpoint that accepts a reset it must ignore: one outside the window, as in a blind attack, or the
// rejection of another SYN.
func TestResetsOutsideWindowAreIgnored(t *testing.T) {
	is := is.New(t)
	l := newLink(t, 1)
	l.a.Connect(l.now)
	l.a.Handle(l.now, &packet.Packet{RST: true, ACK: true, Ack: l.a.ISN})
	l.a.Handle(l.now, &packet.Packet{RST: true, Ack: l.a.ISN + 1})
	is.True(!l.a.Done()) // want the resets of other SYNs ignored
	l.runUntil(l.a.Established)
	l.a.Handle(l.now, &packet.Packet{RST: true, ACK: true, Seq: l.a.rcvNxt - 1, Ack: l.a.highest})
	l.a.Handle(l.now, &packet.Packet{RST: true, Seq: l.a.rcvNxt + windowSize})
	is.True(l.a.Established()) // want the resets outside the window ignored
	l.a.Handle(l.now, &packet.Packet{RST: true, Seq: l.a.rcvNxt})
	is.Equal(l.a.Cause, CauseReset)

	l = newLink(t, 2)
	l.a.Connect(l.now)
	refusal := parse(t, l.toB[0]).Refusal()
	l.a.Handle(l.now, &packet.Packet{RST: refusal.RST, ACK: refusal.ACK, Seq: refusal.Seq, Ack: refusal.Ack})
	is.Equal(l.a.Cause, CauseRefused)
}

// Guards against a keep-alive that changes the connection or gets the wrong reply. Entry VMs send keep-alives to hosts
// and find the host of a flow by the reply.
func TestKeepAliveFindsConnection(t *testing.T) {
	is := is.New(t)
	l := newLink(t, 3)
	l.establish()
	probe := packet.Segment{Key: l.a.Key, Seq: l.a.highest - 1, Ack: l.a.rcvNxt, ACK: true}
	b, err := probe.Bytes()
	is.NoErr(err)
	l.b.Handle(l.now, parse(t, b))
	is.Equal(len(l.toA), 1)
	reply := parse(t, l.toA[0])
	is.True(reply.ACK && !reply.RST && reply.Ack == l.a.highest)
	is.Equal(len(l.b.Read()), 0)

	reset, ok := Reject(parse(t, b))
	is.True(ok)
	is.True(reset.RST && reset.Seq == probe.Ack)
	_, ok = Reject(&packet.Packet{RST: true})
	is.True(!ok) // a reset gets no reply
}

// Guards against a late SYN that ends or restarts an established connection.
func TestSYNInEstablishedConnectionIsChallenged(t *testing.T) {
	is := is.New(t)
	l := newLink(t, 4)
	l.establish()
	l.b.Handle(l.now, &packet.Packet{SYN: true, Seq: 12345})
	is.Equal(len(l.toA), 1)
	challenge := parse(t, l.toA[0])
	is.True(challenge.ACK && !challenge.SYN && !challenge.RST && challenge.Ack == l.a.highest)
	is.True(l.b.Established())
}

// Guards against retransmission without backoff, and against connections that never time out.
func TestBackoffAndTimeout(t *testing.T) {
	is := is.New(t)
	l := newLink(t, 5)
	l.loss = 1
	var sent []time.Duration
	l.a.Emit = func(packet.Segment) { sent = append(sent, l.now) }
	l.a.Connect(l.now)
	l.runUntil(l.a.Done)
	is.Equal(l.a.Cause, CauseTimeout)
	is.Equal(sent[1:4], []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond})
	is.Equal(len(sent), defaultMaxRetries+1)
}
