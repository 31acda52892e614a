package operator

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a response that a collector, an operator or the readiness check of the fabric cannot interpret.
func TestServerResponses(t *testing.T) {
	is := is.New(t)
	ready := false
	s := Server{
		Status:  func() Status { return Status{Name: "entry-1"} },
		Flow:    func(string, netip.AddrPort, netip.AddrPort) (Flow, error) { return Flow{Owner: "entry-2"}, nil },
		Drain:   func() Drain { return Drain{Name: "entry-1", OpenFlows: 3} },
		Metrics: func(w io.Writer) error { _, err := fmt.Fprintln(w, "x 1"); return err },
		Ready:   func() bool { return ready },
	}
	get := func(method, path string) (int, string) {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, http.NoBody))
		return w.Code, w.Body.String()
	}
	for _, c := range []struct {
		method, path, want string
		code               int
	}{
		{http.MethodGet, "/status", `"name":"entry-1"`, 200},
		{http.MethodGet, "/flow?protocol=tcp&source=192.0.2.1:1&destination=198.51.100.1:443", `"owner":"entry-2"`, 200},
		{http.MethodGet, "/flow?protocol=tcp&source=x&destination=198.51.100.1:443", "source must be", 400},
		{http.MethodPost, "/drain", `"open-flows":3`, 200},
		{http.MethodGet, "/drain", "Method Not Allowed", 405},
		{http.MethodGet, "/metrics", "x 1\n", 200},
		{http.MethodGet, "/live", "live", 200},
		{http.MethodGet, "/ready", "not ready", 503},
	} {
		code, body := get(c.method, c.path)
		is.Equal(code, c.code)
		is.True(strings.Contains(body, c.want)) // c.path
	}
	ready = true
	code, _ := get(http.MethodGet, "/ready")
	is.Equal(code, 200)
}

// Guards against a request that panics and closes the connection because the mode of the daemon has no callback for it.
func TestUnsetCallbacksAreNotFound(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer((&Server{Ready: func() bool { return true }}).Handler())
	defer server.Close()
	for _, path := range []string{"/status", "/flow"} {
		r, err := http.Get(server.URL + path)
		is.NoErr(err)
		_ = r.Body.Close()
		is.Equal(r.StatusCode, http.StatusNotFound)
	}
}
