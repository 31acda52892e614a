package fabric

import (
	"encoding/json"
	"net/http"
	"net/netip"
)

// Handler returns the HTTP control interface.
//
//	GET, PUT /entries   list of entry VM addresses that receive packets
//	PUT /faults         {"loss": 0.01, "duplication": 0, "delay-ns": 1000000, "jitter-ns": 0}
//	PUT /blocked        list of IP addresses of entry VMs, hosts or callers that are cut off
//	GET /counters       what was sprayed and dropped
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /entries", func(w http.ResponseWriter, _ *http.Request) { reply(w, f.Entries()) })
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { reply(w, f.Counters.Values()) })
	mux.HandleFunc("PUT /entries", func(w http.ResponseWriter, r *http.Request) {
		var entries []netip.AddrPort
		if decode(w, r, &entries) {
			f.SetEntries(entries)
		}
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if decode(w, r, &faults) {
			f.SetFaults(faults)
		}
	})
	mux.HandleFunc("PUT /blocked", func(w http.ResponseWriter, r *http.Request) {
		var addresses []netip.Addr
		if decode(w, r, &addresses) {
			f.SetBlocked(addresses)
		}
	})
	return mux
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has gone
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
