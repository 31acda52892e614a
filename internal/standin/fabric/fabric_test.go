package fabric

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/standin/datagram"
	"github.com/masticspar/masticspar/internal/timer"
)

const deadline = 20 * time.Second // long enough for busy test machines

type arrival struct {
	source netip.AddrPort
	bytes  string
}

// node is the socket of a caller, host or entry VM.
type node struct {
	*datagram.Conn
	arrived chan arrival
}

func newNode(t *testing.T, address string) *node {
	t.Helper()
	n := &node{arrived: make(chan arrival, 1000)}
	conn, stop, err := datagram.New(netip.MustParseAddrPort(address), func(source netip.AddrPort, b []byte) {
		n.arrived <- arrival{source, string(b)}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	n.Conn = conn
	return n
}

func (n *node) receive(t *testing.T) arrival {
	t.Helper()
	select {
	case a := <-n.arrived:
		return a
	case <-time.After(deadline):
		t.Fatal("no datagram arrived")
		return arrival{}
	}
}

func start(t *testing.T) *Fabric {
	t.Helper()
	f := &Fabric{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Hosts: netip.MustParsePrefix("127.9.8.0/24"),
		Random: rand.New(rand.NewPCG(1, 1)), Counters: counter.New(), Timer: &timer.Service{},
	}
	stop, err := f.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return f
}

func put(t *testing.T, f *Fabric, path, body string) {
	t.Helper()
	w := httptest.NewRecorder()
	f.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, path, strings.NewReader(body)))
	if w.Code != http.StatusOK {
		t.Fatalf("PUT %s: %d %s", path, w.Code, w.Body)
	}
}

var flowKey = packet.NewKey(packet.UDP, netip.MustParseAddrPort("10.0.0.1:5000"), netip.MustParseAddrPort("198.51.100.1:80"))

func encapsulated(t *testing.T, direction int) []byte {
	t.Helper()
	s := packet.Segment{Key: flowKey, Payload: []byte("x")}
	if direction == geneve.ToCaller {
		s.Key = flowKey.Reverse()
	}
	b, err := s.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	return geneve.Append(nil, b, direction, 0, netip.Addr{})
}

// Guards against packets to callers without the outer source address of their host, and against a spray that misses
// listed entry VMs or uses removed ones.
func TestSprayAndReturn(t *testing.T) {
	is := is.New(t)
	f := start(t)
	caller, host := newNode(t, "127.0.0.1:0"), newNode(t, "127.9.8.1:0")
	entries := []*node{newNode(t, "127.9.9.1:0"), newNode(t, "127.9.9.2:0")}
	request, response := encapsulated(t, geneve.ToService), encapsulated(t, geneve.ToCaller)
	put(t, f, "/entries", `["`+entries[0].Addr().String()+`","`+entries[1].Addr().String()+`"]`)
	for range 40 {
		caller.Send(f.Addr(), request)
	}
	for _, e := range entries {
		is.Equal(e.receive(t), arrival{source: e.receive(t).source, bytes: string(request)})
	}
	put(t, f, "/entries", `["`+entries[1].Addr().String()+`"]`)
	host.Send(f.Addr(), response)
	a := entries[1].receive(t)
	for a.bytes == string(request) {
		a = entries[1].receive(t)
	}
	is.Equal(a.bytes, string(response))
	is.Equal(a.source.Addr(), host.Addr().Addr())

	entries[0].Send(f.Addr(), response) // entries[0] is no longer listed, like a draining entry VM
	is.Equal(caller.receive(t).bytes, string(response))
}

// Guards against faults that are not applied or not counted.
func TestFaultsAndBlocking(t *testing.T) {
	is := is.New(t)
	f := start(t)
	caller, entry := newNode(t, "127.0.0.1:0"), newNode(t, "127.9.9.3:0")
	request := encapsulated(t, geneve.ToService)
	put(t, f, "/entries", `["`+entry.Addr().String()+`"]`)
	await := func(name string, want int64) {
		t.Helper()
		for end := time.Now().Add(deadline); f.Counters.Values()[name] != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %v, want %d", name, f.Counters.Values(), want)
			}
		}
	}
	put(t, f, "/faults", `{"loss": 1}`)
	caller.Send(f.Addr(), request)
	await("dropped-loss", 1)
	put(t, f, "/faults", `{"duplication": 1, "delay-ns": 1000000}`)
	caller.Send(f.Addr(), request)
	is.Equal(entry.receive(t).bytes, string(request))
	is.Equal(entry.receive(t).bytes, string(request))
	put(t, f, "/blocked", `["127.9.9.3"]`)
	caller.Send(f.Addr(), request)
	await("dropped-blocked", 1)
	is.Equal(len(entry.arrived), 0)
}
