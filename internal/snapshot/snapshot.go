package snapshot

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	path = "/picture"
	// maxAgeParameter is the query parameter with the greatest accepted age of the snapshot in milliseconds.
	maxAgeParameter = "max-age-ms"
	// timeout bounds a transfer; the network delay between entry VMs is a few milliseconds.
	timeout = 400 * time.Millisecond
	// maxSize is the greatest size of a snapshot in bytes; a snapshot of 5,700 servers has about 0.7 MB.
	maxSize = 8 << 20
	// maxEntries is the greatest number of servers and of routes in a snapshot.
	maxEntries = 100_000
)

// Snapshot is the state of the store as last received by an entry VM.
type Snapshot struct {
	// Revision is the revision of the store up to which changes have been received; a valid snapshot has at least 1.
	Revision uint64 `cbor:"1,keyasint"`
	// Servers has one change for each server.
	Servers []registry.Change `cbor:"2,keyasint"`
	// Configuration is the active configuration.
	Configuration registry.Configuration `cbor:"3,keyasint"`
}

var decoder = strictcbor.NewDecoder(maxEntries, 8)

// Decode returns the snapshot in b, or an error if b is malformed or the snapshot is incomplete.
func Decode(b []byte) (*Snapshot, error) {
	s := &Snapshot{}
	if err := decoder.Unmarshal(b, s); err != nil {
		return nil, errors.Trace(err)
	}
	if s.Revision == 0 || s.Configuration.Version == 0 {
		return nil, errors.New("snapshot has no revision or no configuration")
	}
	for _, c := range s.Servers {
		if c.Name == "" || c.Host == nil || c.Host.Name != c.Name || !c.Host.Address.IsValid() {
			return nil, errors.Errorf("snapshot entry of server %q has no host, no address or another name", c.Name)
		}
	}
	for _, r := range s.Configuration.Routes {
		if len(r.Targets) == 0 {
			return nil, errors.Errorf("snapshot route %q has no service", r.Name)
		}
	}
	return s, nil
}

// Changes returns the snapshot as changes for a Registry.
func (s *Snapshot) Changes() []registry.Change {
	return append(s.Servers, registry.Change{Configuration: &s.Configuration})
}

// Serve serves the snapshot to other entry VMs on address until the returned function is called. current returns nil
// while there is no snapshot whose age is at most maxAge; a maxAge of 0 allows any age.
func Serve(address netip.AddrPort, current func(maxAge time.Duration) *Snapshot) (func(), error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listening for snapshot requests on %s", address)
	}
	var c cache
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		maxAge, err := strconv.ParseUint(r.FormValue(maxAgeParameter), 10, 31)
		if err != nil && r.FormValue(maxAgeParameter) != "" {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s := current(time.Duration(maxAge) * time.Millisecond)
		if s == nil {
			http.Error(w, "no picture", http.StatusServiceUnavailable)
			return
		}
		b, err := c.compress(s)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		_, _ = w.Write(b) // The receiver detects a truncated snapshot.
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: timeout, WriteTimeout: timeout}
	var tb tomb.Tomb
	tb.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return func() {
		_ = server.Close()
		_ = tb.Wait()
	}, nil
}

// cache holds the compressed form of the last snapshot, because many entry VMs request the same one when a fleet
// starts.
type cache struct {
	mu                sync.Mutex
	revision, version uint64
	bytes             []byte
}

func (c *cache) compress(s *Snapshot) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes != nil && c.revision == s.Revision && c.version == s.Configuration.Version {
		return c.bytes, nil
	}
	b, err := cbor.Marshal(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	c.revision, c.version, c.bytes = s.Revision, s.Configuration.Version, out.Bytes()
	return c.bytes, nil
}

// Fetch returns the snapshot of the entry VM at address. It returns an error if the snapshot is older than maxAge,
// unless maxAge is 0.
func Fetch(ctx context.Context, address netip.AddrPort, maxAge time.Duration) (*Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := "http://" + address.String() + path
	if maxAge > 0 {
		target += "?" + maxAgeParameter + "=" + strconv.FormatInt(maxAge.Milliseconds(), 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Close = true // Requests are too rare to keep the connection open.
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("fetching snapshot from %s: unexpected status %d, want 200", address, response.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(response.Body, maxSize))
	if err != nil {
		return nil, errors.Trace(err)
	}
	s, err := Decode(b)
	return s, errors.Annotatef(err, "fetching snapshot from %s", address)
}
