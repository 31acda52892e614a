package backend

import (
	"net/http"
	"net/netip"

	"github.com/masticspar/masticspar/internal/standin/control"
)

// Health is the response of the health endpoint for one host.
type Health struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"` // queued and running requests per slot
}

// Handler returns the HTTP control interface. The query parameter host selects one host; without it a PUT applies to
// all hosts.
//
//	GET /hosts               report by host name
//	PUT /mode?host=          {"mode": "slow", "factor": 4}
//	PUT /blocked?host=       list of outer source addresses whose datagrams the host drops
//	GET /health?host=        health and load; PUT overrides the reported values, DELETE removes the override
//	GET /tokens?repeated=    number of executions by request; with a value, only requests executed more than once
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { control.Reply(w, s.Hosts()) })
	mux.HandleFunc("GET /tokens", func(w http.ResponseWriter, r *http.Request) {
		control.Reply(w, s.Tokens(r.URL.Query().Get("repeated") != ""))
	})
	mux.HandleFunc("PUT /mode", func(w http.ResponseWriter, r *http.Request) {
		var mode Mode
		if control.Decode(w, r, &mode) {
			writeStatus(w, s.SetMode(r.URL.Query().Get("host"), mode))
		}
	})
	mux.HandleFunc("PUT /blocked", func(w http.ResponseWriter, r *http.Request) {
		var sources []netip.Addr
		if control.Decode(w, r, &sources) {
			writeStatus(w, s.SetBlocked(r.URL.Query().Get("host"), sources))
		}
	})
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		var h Health
		if s.forEach(r.URL.Query().Get("host"), func(m *managedHost) { h = m.health() }) {
			control.Reply(w, h)
			return
		}
		writeStatus(w, false)
	})
	mux.HandleFunc("PUT /health", func(w http.ResponseWriter, r *http.Request) {
		var h Health
		if control.Decode(w, r, &h) {
			writeStatus(w, s.forEach(r.URL.Query().Get("host"), func(m *managedHost) { m.healthOverride = &h }))
		}
	})
	mux.HandleFunc("DELETE /health", func(w http.ResponseWriter, r *http.Request) {
		writeStatus(w, s.forEach(r.URL.Query().Get("host"), func(m *managedHost) { m.healthOverride = nil }))
	})
	return mux
}

func (m *managedHost) health() Health {
	if m.healthOverride != nil {
		return *m.healthOverride
	}
	requests := len(m.host.queue) + len(m.host.running)
	return Health{Healthy: m.host.Mode.Kind != ModeDead, Load: float64(requests) / float64(m.host.slots())}
}

// writeStatus responds with 204, or with 404 if no host matched.
func writeStatus(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "no such host", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
