package snapshot

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	path = "/picture"
	// ageHeader is the header with the age of the snapshot in milliseconds; it is missing if the age is not known.
	ageHeader = "State-Age-Ms"
	// configurationPath returns the configuration alone.
	configurationPath = "/configuration"
	// maxAgeParameter is the query parameter with the greatest accepted age of the snapshot in milliseconds.
	maxAgeParameter = "max-age-ms"
	// eraParameter and revisionParameter are the query parameters with the least position; missing ones allow any.
	eraParameter      = "min-era"
	revisionParameter = "min-revision"
	// timeout bounds a transfer; the network delay between entry VMs is a few milliseconds.
	timeout = 400 * time.Millisecond
	// maxSize is the greatest size of a snapshot in bytes; a snapshot of 5,700 servers has about 0.7 MB.
	maxSize = 8 << 20
	// maxEntries is the greatest number of servers and of routes in a snapshot.
	maxEntries = 100_000
)

// Snapshot is the state of the store as last received by an entry VM.
type Snapshot struct {
	// Era is the era of the store that Revision belongs to.
	Era uint64 `cbor:"4,keyasint,omitempty"`
	// Revision is the revision of the store up to which changes have been received; a valid snapshot has at least 1.
	Revision uint64 `cbor:"1,keyasint"`
	// Servers are changes that list the servers, in the order in which they apply.
	Servers []registry.Change `cbor:"2,keyasint"`
	// Configuration is the active configuration.
	Configuration registry.Configuration `cbor:"3,keyasint"`
	// Evacuations are the evacuations of availability zones in force. Older entry VMs refuse a snapshot with evacuations and
	// read the store.
	Evacuations []registry.Change `cbor:"5,keyasint,omitempty"`
	// Confirmed reports whether the store confirmed, Age before the reply, that there was nothing later.
	Confirmed bool `cbor:"-"`
	// Age is the time since that confirmation.
	Age time.Duration `cbor:"-"`
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
	for _, c := range s.Evacuations {
		if c.Zone == "" || !c.Evacuated || c.Name != "" {
			return nil, errors.Errorf("snapshot has an evacuation without a zone or that is not in force (zone %q)", c.Zone)
		}
	}
	if err := checkRoutes(&s.Configuration); err != nil {
		return nil, err
	}
	return s, nil
}

// checkRoutes returns an error if a route has no service, which the engine relies on.
func checkRoutes(c *registry.Configuration) error {
	for _, r := range c.Routes {
		if len(r.Targets) == 0 {
			return errors.Errorf("route %q has no service", r.Name)
		}
	}
	return nil
}

// Changes returns the snapshot as changes for a Registry. The configuration is first, because it determines which servers
// may be used.
func (s *Snapshot) Changes() []registry.Change {
	return slices.Concat([]registry.Change{{Configuration: &s.Configuration}}, s.Evacuations, s.Servers)
}

// Source is the state that Serve serves.
type Source struct {
	// Snapshot returns the complete state, or nil while there is none whose age is at most maxAge; a maxAge of 0 allows
	// any age.
	Snapshot func(maxAge time.Duration) *Snapshot
	// Configuration returns the active configuration; its version is 0 while there is none.
	Configuration func() registry.Configuration
}

// Serve serves the state to other entry VMs on address until the returned function is called.
func Serve(address netip.AddrPort, source Source) (func(), error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listening for snapshot requests on %s", address)
	}
	var complete, configuration cache
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		maxAge, err := strconv.ParseUint(r.FormValue(maxAgeParameter), 10, 31)
		if err != nil && r.FormValue(maxAgeParameter) != "" {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		era, eraErr := strconv.ParseUint(cmp.Or(r.FormValue(eraParameter), "0"), 10, 64)
		revision, revisionErr := strconv.ParseUint(cmp.Or(r.FormValue(revisionParameter), "0"), 10, 64)
		if eraErr != nil || revisionErr != nil {
			http.Error(w, "the least position is not a pair of numbers", http.StatusBadRequest)
			return
		}
		least := history.Position{Era: era, Revision: revision}
		s := source.Snapshot(time.Duration(maxAge) * time.Millisecond)
		if s == nil || (history.Position{Era: s.Era, Revision: s.Revision}).Compare(least) < 0 {
			http.Error(w, "no picture", http.StatusServiceUnavailable)
			return
		}
		if s.Confirmed {
			w.Header().Set(ageHeader, strconv.FormatInt(s.Age.Milliseconds(), 10))
		}
		reply(w, &complete, cacheKey{s.Era, s.Revision, s.Configuration.Version}, s)
	})
	mux.HandleFunc("GET "+configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		c := source.Configuration()
		if c.Version == 0 {
			http.Error(w, "no configuration", http.StatusServiceUnavailable)
			return
		}
		reply(w, &configuration, cacheKey{version: c.Version}, &c)
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

// reply sends the compressed form of v, which key identifies.
func reply(w http.ResponseWriter, c *cache, key cacheKey, v any) {
	b, err := c.compress(key, v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b) // The receiver detects a truncated reply.
}

// cacheKey identifies a state that was compressed.
type cacheKey struct {
	era, revision, version uint64
}

// cache holds the compressed form of the last state, because many entry VMs request the same one when a fleet starts or
// the configuration changes.
type cache struct {
	mu    sync.Mutex
	key   cacheKey
	bytes []byte
}

func (c *cache) compress(key cacheKey, v any) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes != nil && c.key == key {
		return c.bytes, nil
	}
	b, err := cbor.Marshal(v)
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
	c.key, c.bytes = key, out.Bytes()
	return c.bytes, nil
}

// Fetch returns the snapshot of the entry VM at address. It returns an error if the snapshot is older than maxAge,
// unless maxAge is 0, or if its position precedes least. Older entry VMs ignore least.
func Fetch(
	ctx context.Context, address netip.AddrPort, maxAge time.Duration, least history.Position,
) (*Snapshot, error) {
	query := url.Values{}
	if maxAge > 0 {
		query.Set(maxAgeParameter, strconv.FormatInt(maxAge.Milliseconds(), 10))
	}
	if least != (history.Position{}) {
		query.Set(eraParameter, strconv.FormatUint(least.Era, 10))
		query.Set(revisionParameter, strconv.FormatUint(least.Revision, 10))
	}
	target := path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	started := time.Now()
	b, header, err := get(ctx, address, target)
	if err != nil {
		return nil, errors.Annotate(err, "fetching snapshot")
	}
	s, err := Decode(b)
	if err != nil {
		return nil, errors.Annotatef(err, "fetching snapshot from %s", address)
	}
	if text := header.Get(ageHeader); text != "" {
		age, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return nil, errors.Annotatef(err, "fetching snapshot from %s: header %s", address, ageHeader)
		}
		s.Confirmed, s.Age = true, time.Duration(age)*time.Millisecond+time.Since(started)
	}
	return s, nil
}

// FetchConfiguration returns the configuration of the entry VM at address. It returns an error if its version is less
// than minVersion.
func FetchConfiguration(
	ctx context.Context, address netip.AddrPort, minVersion uint64,
) (*registry.Configuration, error) {
	b, _, err := get(ctx, address, configurationPath)
	if err != nil {
		return nil, errors.Annotate(err, "fetching configuration")
	}
	c := &registry.Configuration{}
	if err := decoder.Unmarshal(b, c); err != nil {
		return nil, errors.Annotatef(err, "fetching configuration from %s", address)
	}
	if c.Version < max(minVersion, 1) {
		return nil, errors.Errorf("configuration of %s has version %d, want at least %d", address, c.Version, minVersion)
	}
	return c, errors.Annotatef(checkRoutes(c), "fetching configuration from %s", address)
}

// get returns the body and the header of a reply of the entry VM at address.
func get(ctx context.Context, address netip.AddrPort, target string) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+target, nil)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	request.Close = true // Requests are too rare to keep the connection open.
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, nil, errors.Errorf("unexpected status %d from %s, want 200", response.StatusCode, address)
	}
	b, err := io.ReadAll(io.LimitReader(response.Body, maxSize))
	return b, response.Header, errors.Trace(err)
}
