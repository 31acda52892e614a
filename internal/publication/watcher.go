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
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/document"
	"github.com/masticspar/masticspar/internal/fleet"
	"gopkg.in/tomb.v2"
)

// Defaults of a Config. The greatest pause stays below the 6 s in which a change has to be in force. The least one keeps
// 500 VMs with 3 reads each below the 2,000 reads/s that the platform serves in the first second of an outage.
const (
	DefaultWatchTimeout    = 30 * time.Second
	DefaultExchangeTimeout = 2 * time.Second
	DefaultListPeriod      = 30 * time.Second
	DefaultMinBackoff      = time.Second
	DefaultMaxBackoff      = 4 * time.Second
)

// VM is an entry of the list of VMs; the list lags and only supplies addresses to try.
type VM struct {
	Name             string `json:"name"`
	ControlAddress   string `json:"control-address"`
	AvailabilityZone string `json:"availability-zone"`
	// State is live or leaving.
	State string `json:"state"`
}

// Config says what a Watcher reads and whom it tells. The functions are called from the goroutines of the Watcher, one
// call at a time for each document and for the list.
type Config struct {
	// URL is the base URL of the configuration service.
	URL string
	// Version returns the version in force, after which the service is asked for a document.
	Version func(kind fleet.Kind) uint64
	// HandleDocument takes a document and reports whether it was put in force.
	HandleDocument func(kind fleet.Kind, b []byte) bool
	// HandleVMs takes the list of HandleVMs; nil reads no list.
	HandleVMs func(list []VM)
	// Seed makes the jitter of the pauses repeatable.
	Seed uint64
	// Counters counts reads and retries by reason; nil counts nothing.
	Counters *counter.Set
	// TLS is the client configuration for an https URL; nil selects the default of the system.
	TLS *tls.Config
	// WatchTimeout is how long a read waits at the service; zero selects DefaultWait.
	WatchTimeout time.Duration
	// ExchangeTimeout bounds an exchange in addition to Wait; zero selects DefaultDeadline.
	ExchangeTimeout time.Duration
	// ListPeriod is the time between two reads of the list; zero selects DefaultListPeriod.
	ListPeriod time.Duration
	// MinBackoff and MaxBackoff bound the pause before a retry; zero selects the defaults.
	MinBackoff, MaxBackoff time.Duration
}

// Watcher reads the documents and the list until it is stopped.
type Watcher struct {
	config Config
	tomb   tomb.Tomb
}

// Reasons of retries.
const (
	errTimeout  = errors.ConstError("timeout")
	errConnect  = errors.ConstError("connection")
	errStatus   = errors.ConstError("status")
	errTooLarge = errors.ConstError("too-large")
	errDecode   = errors.ConstError("decode")
	errNotNewer = errors.ConstError("not-newer")
	errEarly    = errors.ConstError("early")
)

// New starts a Watcher and returns the function that stops it.
func New(c Config) (*Watcher, func(), error) {
	u, err := url.Parse(c.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, nil, errors.NotValidf("platform URL %q (want http:// or https:// and a host)", c.URL)
	}
	if c.Version == nil || c.HandleDocument == nil {
		return nil, nil, errors.NotValidf("platform configuration without Version and Document")
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
	query := fmt.Sprintf("/documents/%s?after=%d&wait=%d", kind, w.config.Version(kind), int(w.config.WatchTimeout.Seconds()))
	start := time.Now()
	b, err := r.read(ctx, query, w.config.WatchTimeout+w.config.ExchangeTimeout)
	switch {
	case err != nil:
		return err
	case b == nil && time.Since(start) < w.config.WatchTimeout/2:
		return errEarly // A service that does not wait would be asked in a loop too.
	case b == nil:
		return nil
	}
	if !w.config.HandleDocument(kind, b) {
		// Without a pause, a service that goes on serving an old copy would be asked in a loop.
		return errNotNewer
	}
	return nil
}

func (w *Watcher) readList(ctx context.Context, r *reader) error {
	b, err := r.read(ctx, "/vms", w.config.ExchangeTimeout)
	if err != nil {
		return err
	}
	var list []VM
	// Fields that a later platform adds are no reason to ignore the list, so it is not decoded strictly.
	if err := json.Unmarshal(b, &list); err != nil {
		return errors.WithType(err, errDecode)
	}
	w.config.HandleVMs(list)
	r.sleep(ctx, w.config.ListPeriod)
	return nil
}

var retryReasons = []errors.ConstError{errTimeout, errConnect, errStatus, errTooLarge, errDecode, errNotNewer, errEarly}

// A reader makes the exchanges of one watch over a connection of its own.
type reader struct {
	name      string
	config    *Config
	random    *rand.Rand
	transport *http.Transport
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
		// The jitter keeps VMs that lost the service at the same time from coming back at the same time.
		r.sleep(ctx, backoff/2+time.Duration(r.random.Int64N(int64(backoff/2)+1)))
		backoff = min(2*backoff, r.config.MaxBackoff)
	}
}

// Returns the body, nil when there is nothing newer.
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
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return nil, nil
	default:
		return nil, errors.WithType(errors.Errorf("status %d", response.StatusCode), errStatus)
	}
	b, err := io.ReadAll(io.LimitReader(response.Body, document.MaxSize+1))
	if err != nil {
		return nil, r.closeOnError(ctx, err)
	}
	if len(b) > document.MaxSize {
		r.disconnect() // The rest of the body would have to be read before the connection can be used again.
		return nil, errors.WithType(errors.Errorf("more than %d bytes", document.MaxSize), errTooLarge)
	}
	return b, nil
}

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

// Drops the connection, so that the next exchange uses a new local port.
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
