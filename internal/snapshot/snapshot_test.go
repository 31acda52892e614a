package snapshot

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
)

func sample() *Snapshot {
	return &Snapshot{
		Revision: 7,
		Servers: []registry.Change{{Name: "i-1", Revision: 5, Created: 3, Host: &registry.Host{
			Name: "i-1", Number: 1, Service: "standdesk", Address: netip.MustParseAddrPort("10.0.0.1:80"),
			AvailabilityZone: "wa-perth", Slots: 2, Cold: time.Second, Started: 9,
		}}},
		Configuration: registry.Configuration{Version: 4, Routes: []registry.Route{{
			Name: "job-board", Address: netip.MustParseAddrPort("198.18.0.1:443"), Idempotent: true, TargetLatency: time.Second,
			Targets: []registry.Target{{Service: "standdesk", Weight: 1}},
		}}},
	}
}

func freeAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against an entry VM that starts without the store and gets a snapshot that differs from the one served, and
// against one that gets no error while the other entry VM has no snapshot.
func TestFetchReturnsServedSnapshot(t *testing.T) {
	is := is.New(t)
	a := freeAddress(t)
	current := (*Snapshot)(nil)
	stop, err := Serve(a, Source{Snapshot: func(time.Duration) *Snapshot { return current }})
	is.NoErr(err)
	defer stop()
	_, err = Fetch(context.Background(), a, 0, history.Position{})
	is.True(err != nil) // There is no snapshot yet.
	current = sample()
	s, err := Fetch(context.Background(), a, 0, history.Position{})
	is.NoErr(err)
	is.Equal(s, sample())
	is.Equal(len(s.Changes()), 2)
}

// Guards against a new process that starts with a snapshot which is older than it accepts, against one that gets the
// cached bytes of an earlier state, and against a transfer that breaks off.
func TestFetchLimitsAgeAndReadsNewState(t *testing.T) {
	is := is.New(t)
	a := freeAddress(t)
	state, age := sample(), time.Minute
	stop, err := Serve(a, Source{Snapshot: func(maxAge time.Duration) *Snapshot {
		if maxAge > 0 && age > maxAge {
			return nil
		}
		return state
	}})
	is.NoErr(err)
	defer stop()
	_, err = Fetch(context.Background(), a, time.Minute-time.Millisecond, history.Position{})
	is.True(err != nil)
	s, err := Fetch(context.Background(), a, time.Minute, history.Position{})
	is.NoErr(err)
	is.Equal(s, state)
	for least, ok := range map[history.Position]bool{
		{Revision: state.Revision}: true, {Revision: state.Revision + 1}: false, {Era: state.Era + 1}: false,
	} {
		_, err = Fetch(context.Background(), a, 0, least)
		is.Equal(err == nil, ok) // The sender must refuse, so that a state that does not help is not transferred.
	}
	for _, change := range []func(){func() { state.Era++ }, func() { state.Revision++ }, func() { state.Configuration.Version++ }} {
		state = sample()
		change()
		s, err = Fetch(context.Background(), a, 0, history.Position{})
		is.NoErr(err)
		is.Equal(s, state)
	}
}

// Guards against a configuration that is older than the one announced, and against one that is changed in transit.
func TestFetchConfigurationRequiresVersion(t *testing.T) {
	is := is.New(t)
	a := freeAddress(t)
	stop, err := Serve(a, Source{Configuration: func() registry.Configuration { return sample().Configuration }})
	is.NoErr(err)
	defer stop()
	c, err := FetchConfiguration(context.Background(), a, 4)
	is.NoErr(err)
	is.Equal(*c, sample().Configuration)
	_, err = FetchConfiguration(context.Background(), a, 5)
	is.True(err != nil)
}

// Guards against a transfer that breaks off and is taken for a complete state, at each byte at which it can break off.
func TestBrokenOffTransferIsRefused(t *testing.T) {
	is := is.New(t)
	var c cache
	whole, err := c.compress(cacheKey{}, sample())
	is.NoErr(err)
	for _, announced := range []bool{true, false} { // With and without the length of the whole in the header.
		n := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			if announced {
				w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
			}
			_, _ = w.Write(whole[:n])
		}))
		a := netip.MustParseAddrPort(server.Listener.Addr().String())
		for ; n < len(whole); n++ {
			if _, err := Fetch(context.Background(), a, 0, history.Position{}); err == nil {
				t.Errorf("Fetch accepted %d of %d bytes, want an error", n, len(whole))
			}
		}
		_, err = Fetch(context.Background(), a, 0, history.Position{})
		is.NoErr(err)
		server.Close()
	}
}

// Guards against an incomplete snapshot that would crash the receiver or leave it without routes.
func TestDecodeRefusesIncompleteSnapshot(t *testing.T) {
	for name, change := range map[string]func(*Snapshot){
		"no revision":      func(s *Snapshot) { s.Revision = 0 },
		"no configuration": func(s *Snapshot) { s.Configuration.Version = 0 },
		"no server":        func(s *Snapshot) { s.Servers[0].Host = nil },
		"other name":       func(s *Snapshot) { s.Servers[0].Host.Name = "i-2" },
		"no address":       func(s *Snapshot) { s.Servers[0].Host.Address = netip.AddrPort{} },
		"no service":       func(s *Snapshot) { s.Configuration.Routes[0].Targets = nil },
	} {
		s := sample()
		change(s)
		b, err := cbor.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); err == nil {
			t.Errorf("%s: Decode accepted the snapshot, want an error", name)
		}
	}
}

// Guards against a panic on malformed bytes.
func FuzzDecode(f *testing.F) {
	b, err := cbor.Marshal(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Decode(b) })
}

// Guards against a server of an unknown service that claims the address of another one, because it is applied before
// the configuration.
func TestConfigurationIsAppliedFirst(t *testing.T) {
	is := is.New(t)
	s := sample()
	changes := s.Changes()
	is.Equal(changes[0].Configuration, &s.Configuration)
	is.Equal(changes[1:], s.Servers)
}

// Guards against a state that counts as younger at the entry VM that fetches it than at the one that serves it.
func TestFetchAddsTransferToAge(t *testing.T) {
	is := is.New(t)
	a := freeAddress(t)
	const delay = 20 * time.Millisecond
	state := sample()
	state.Confirmed, state.Age = true, 1500*time.Millisecond
	stop, err := Serve(a, Source{Snapshot: func(time.Duration) *Snapshot {
		time.Sleep(delay)
		return state
	}})
	is.NoErr(err)
	defer stop()
	s, err := Fetch(context.Background(), a, 0, history.Position{})
	is.NoErr(err)
	is.True(s.Confirmed)
	is.True(s.Age >= state.Age+delay)
	state.Confirmed = false
	s, err = Fetch(context.Background(), a, 0, history.Position{})
	is.NoErr(err)
	is.True(!s.Confirmed)
}
