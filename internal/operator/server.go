package operator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// Timeouts of the HTTP server; they limit how long a client that stops reading occupies memory.
const (
	headerTimeout = 2 * time.Second
	writeTimeout  = 10 * time.Second
	stopTimeout   = time.Second
)

// Server serves operators and collectors over HTTP; its fields are set before Listen or Handler. If Status, Flow or
// Drain is nil, the response for its path is 404; Metrics and Ready are required.
type Server struct {
	// Status returns the status of the entry VM.
	Status func() Status
	// Flow returns the state of a flow; the response to an error is 400 with the text of the error.
	Flow func(protocol string, source, destination netip.AddrPort) (Flow, error)
	// Drain starts the graceful shutdown.
	Drain func() Drain
	// Metrics writes all metrics in the Prometheus text exposition format.
	Metrics func(w io.Writer) error
	// Ready reports whether the entry VM accepts new flows.
	Ready func() bool
}

// Listen serves on address until the returned function is called.
func (s *Server) Listen(address netip.AddrPort) (func(), error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Annotatef(err, "operator-address %s", address)
	}
	h := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout}
	var tb tomb.Tomb
	tb.Go(func() error {
		if err := h.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := h.Shutdown(ctx); err != nil {
			_ = h.Close()
		}
		_ = tb.Wait()
	}, nil
}

// Handler returns the HTTP handler for all paths of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	if s.Status != nil {
		mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Status()) })
	}
	if s.Flow != nil {
		mux.HandleFunc("GET /flow", s.flow)
	}
	if s.Drain != nil {
		mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Drain()) })
	}
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = s.Metrics(w)
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return mux
}

func (s *Server) flow(w http.ResponseWriter, r *http.Request) {
	source, err := netip.ParseAddrPort(r.FormValue("source"))
	if err != nil {
		http.Error(w, "source must be an IP address and port, such as 192.0.2.1:5000", http.StatusBadRequest)
		return
	}
	destination, err := netip.ParseAddrPort(r.FormValue("destination"))
	if err != nil {
		http.Error(w, "destination must be an IP address and port, such as 192.0.2.1:443", http.StatusBadRequest)
		return
	}
	f, err := s.Flow(r.FormValue("protocol"), source, destination)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, f)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
