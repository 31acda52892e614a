package publication

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/document"
	"github.com/masticspar/masticspar/internal/fleet"
	"gopkg.in/tomb.v2"
)

// Defaults of a Config. DefaultMaxBackoff is below the 6 s in which a change has to become active. DefaultMinBackoff
// keeps 500 VMs with 3 reads each below the 2,000 reads/s that the platform serves in the first second of an outage.
const (
	DefaultWatchTimeout    = 30 * time.Second
	DefaultExchangeTimeout = 2 * time.Second
	DefaultListPeriod      = 30 * time.Second
	DefaultMinBackoff      = time.Second
	DefaultMaxBackoff      = 4 * time.Second
)

// eraHeader is the header of responses with the number of times that the service was restored from a copy.
const eraHeader = "Store-Era"

// VM is an entry of the list of VMs. The list lags behind the real state and only supplies addresses to try.
type VM struct {
	Name             string `json:"name"`
	ControlAddress   string `json:"control-address"`
	AvailabilityZone string `json:"availability-zone"`
	// State is live or leaving.
	State string `json:"state"`
}

// Config has the settings and callbacks of a Watcher. The callbacks are called from the goroutines of the Watcher, one
// call at a time for each kind of document and for the list.
type Config struct {
	// URL is the base URL of the configuration service.
	URL string
	// Version returns the active version; the Watcher requests a document with a greater one.
	Version func(kind fleet.Kind) uint64
	// HandleDocument is called with each received document and reports whether the document became active.
	HandleDocument func(kind fleet.Kind, b []byte) bool
	// Behind is called when the service was restored from a copy and its document has a version lower than the active one,
	// which stays active; nil ignores it.
	Behind func(kind fleet.Kind, published, active uint64)
	// HandleVMs is called with each received list of VMs; if it is nil, the list is not read.
	HandleVMs func(list []VM)
	// Seed makes the jitter of the backoff reproducible.
	Seed uint64
	// Counters counts reads and retries by reason; nil counts nothing.
	Counters *counter.Set
	// TLS is the client configuration for an https URL; nil selects the default of the system.
	TLS *tls.Config
	// WatchTimeout is how long the service delays its response while there is no newer document; zero selects
	// DefaultWatchTimeout. The service receives it in whole seconds.
	WatchTimeout time.Duration
	// ExchangeTimeout bounds an exchange in addition to WatchTimeout; zero selects DefaultExchangeTimeout.
	ExchangeTimeout time.Duration
	// ListPeriod is the time between two reads of the list; zero selects DefaultListPeriod.
	ListPeriod time.Duration
	// MinBackoff and MaxBackoff bound the delay before a retry, apart from jitter, which at most halves it; zero selects
	// the defaults.
	MinBackoff, MaxBackoff time.Duration
}

// Watcher reads the documents and the list until it is stopped.
type Watcher struct {
	config Config
	tomb   tomb.Tomb
}

// Reasons for a retry.
const (
	errTimeout  = errors.ConstError("timeout")
	errConnect  = errors.ConstError("connection")
	errStatus   = errors.ConstError("status")
	errTooLarge = errors.ConstError("too-large")
	errDecode   = errors.ConstError("decode")
	errNotNewer = errors.ConstError("not-newer")
	errEarly    = errors.ConstError("early")
)

// New starts a Watcher. The returned function stops it and waits until it has ended.
func New(c Config) (*Watcher, func(), error) {
	u, err := url.Parse(c.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, nil, errors.NotValidf("platform URL %q (must be http:// or https:// with a host)", c.URL)
	}
	if c.Version == nil || c.HandleDocument == nil {
		return nil, nil, errors.NotValidf("platform configuration without Version or HandleDocument")
	}
	c.URL = strings.TrimSuffix(c.URL, "/")
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.WatchTimeout, DefaultWatchTimeout},
		{&c.ExchangeTimeout, DefaultExchangeTimeout},
		{&c.ListPeriod, DefaultListPeriod},
		{&c.MinBackoff, DefaultMinBackoff},
		{&c.MaxBackoff, DefaultMaxBackoff},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	w := &Watcher{config: c}
	ctx := w.tomb.Context(context.Background())
	for _, kind := range fleet.Kinds {
		r := w.newReader(kind.String(), uint64(kind))
		w.tomb.Go(func() error {
			r.run(ctx, func() error { return w.readDocument(ctx, r, kind) })
			return nil
		})
	}
	if c.HandleVMs != nil {
		r := w.newReader("vms", 0)
		w.tomb.Go(func() error {
			r.run(ctx, func() error { return w.readList(ctx, r) })
			return nil
		})
	}
	return w, func() {
		w.tomb.Kill(nil)
		_ = w.tomb.Wait()
	}, nil
}

func (w *Watcher) newReader(name string, stream uint64) *reader {
	return &reader{name: name, config: &w.config, random: rand.New(rand.NewPCG(w.config.Seed, stream))}
}

func (w *Watcher) readDocument(ctx context.Context, r *reader, kind fleet.Kind) error {
	active := w.config.Version(kind)
	after := active
	if r.behind {
		after = r.published
	}
	query := fmt.Sprintf("/documents/%s?after=%d&wait=%d", kind, after, int(w.config.WatchTimeout.Seconds()))
	if r.era > 0 {
		query += fmt.Sprintf("&era=%d", r.era-1)
	}
	start, era := time.Now(), r.era
	b, err := r.read(ctx, query, w.config.WatchTimeout+w.config.ExchangeTimeout)
	if r.era > era && era > 0 {
		// The service may serve and publish versions again that are not greater than the active one.
		w.config.Counters.Add("platform-restored-"+r.name, 1)
		r.behind, r.published = true, 0
		if b == nil {
			return err
		}
	}
	if b != nil && r.behind {
		w.compare(r, kind, b, active)
	}
	switch {
	case err != nil:
		return err
	case b == nil && time.Since(start) < w.config.WatchTimeout/2:
		return errEarly // Back off, because a service that ignores parameter wait would be polled in a tight loop.
	case b == nil:
		return nil
	}
	if !w.config.HandleDocument(kind, b) {
		// Back off, because a service that keeps serving an old copy would be polled in a tight loop.
		return errNotNewer
	}
	return nil
}

// compare records the version that a restored service has published, and reports one that is lower than the active one.
func (w *Watcher) compare(r *reader, kind fleet.Kind, b []byte, active uint64) {
	var head struct {
		Version uint64 `json:"version"`
	}
	if json.Unmarshal(b, &head) != nil {
		return // HandleDocument refuses it.
	}
	r.published, r.behind = head.Version, head.Version < active
	if r.behind && w.config.Behind != nil {
		w.config.Behind(kind, head.Version, active)
	}
}

func (w *Watcher) readList(ctx context.Context, r *reader) error {
	b, err := r.read(ctx, "/vms", w.config.ExchangeTimeout)
	if err != nil {
		return err
	}
	var list []VM
	// The list is not decoded strictly, because a later version of the platform may add fields.
	if err := json.Unmarshal(b, &list); err != nil {
		return errors.WithType(err, errDecode)
	}
	w.config.HandleVMs(list)
	r.sleep(ctx, w.config.ListPeriod)
	return nil
}

var retryReasons = []errors.ConstError{errTimeout, errConnect, errStatus, errTooLarge, errDecode, errNotNewer, errEarly}

// A reader performs the exchanges for one document, or for the list of VMs, over its own connection.
type reader struct {
	name      string
	config    *Config
	random    *rand.Rand
	transport *http.Transport

	era       uint64 // latest era of the service, plus one; 0 is unknown
	behind    bool   // whether the service was restored and may have published a lower version than the active one
	published uint64 // version that the service has published, while behind
}

func (r *reader) run(ctx context.Context, read func() error) {
	defer r.disconnect()
	backoff := r.config.MinBackoff
	for ctx.Err() == nil {
		err := read()
		if err == nil {
			r.config.Counters.Add("platform-read-"+r.name, 1)
			backoff = r.config.MinBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		for _, reason := range retryReasons {
			if errors.Is(err, reason) {
				r.config.Counters.Add("platform-retry-"+string(reason)+"-"+r.name, 1)
			}
		}
		// Without jitter, VMs that lost the service at the same time would retry at the same time.
		r.sleep(ctx, backoff/2+time.Duration(r.random.Int64N(int64(backoff/2)+1)))
		backoff = min(2*backoff, r.config.MaxBackoff)
	}
}

// read returns the body of the response, or nil if there is nothing newer.
func (r *reader) read(ctx context.Context, query string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.config.URL+query, http.NoBody)
	if err != nil {
		return nil, errors.WithType(err, errConnect)
	}
	client := http.Client{Transport: r.connect(), CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	response, err := client.Do(request)
	if err != nil {
		return nil, r.closeOnError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if era, err := strconv.ParseUint(response.Header.Get(eraHeader), 10, 63); err == nil {
		r.era = max(r.era, era+1)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return nil, nil
	default:
		return nil, errors.WithType(errors.Errorf("unexpected status %d, want 200 or 304", response.StatusCode), errStatus)
	}
	b, err := io.ReadAll(io.LimitReader(response.Body, document.MaxSize+1))
	if err != nil {
		return nil, r.closeOnError(ctx, err)
	}
	if len(b) > document.MaxSize {
		r.disconnect() // To reuse the connection, the rest of the body would have to be read.
		return nil, errors.WithType(errors.Errorf("response has more than %d bytes", document.MaxSize), errTooLarge)
	}
	return b, nil
}

// closeOnError closes the connection and returns err with the reason for the retry.
func (r *reader) closeOnError(ctx context.Context, err error) error {
	r.disconnect()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.WithType(err, errTimeout)
	}
	return errors.WithType(err, errConnect)
}

func (r *reader) connect() *http.Transport {
	if r.transport == nil {
		dialer := net.Dialer{Timeout: r.config.ExchangeTimeout}
		r.transport = &http.Transport{
			DialContext: dialer.DialContext, TLSClientConfig: r.config.TLS, TLSHandshakeTimeout: r.config.ExchangeTimeout,
			MaxConnsPerHost: 1, DisableCompression: true,
		}
	}
	return r.transport
}

// disconnect closes the connection, so that the next exchange uses a new local port.
func (r *reader) disconnect() {
	if r.transport != nil {
		r.transport.CloseIdleConnections()
		r.transport = nil
	}
}

func (r *reader) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
