package fabric

import (
	"net/http"
	"net/netip"

	"github.com/masticspar/masticspar/internal/standin/control"
)

// Handler returns the HTTP control interface.
//
//	GET, PUT /entries   list of entry VM addresses that receive packets
//	PUT /faults         {"loss": 0.01, "duplication": 0, "delay-ns": 1000000, "jitter-ns": 0}
//	PUT /blocked        list of outer addresses of entry VMs, hosts or callers whose datagrams are dropped
//	GET /counters       counters of forwarded and dropped datagrams
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /entries", func(w http.ResponseWriter, _ *http.Request) { control.Reply(w, f.Entries()) })
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { control.Reply(w, f.Counters.Values()) })
	mux.HandleFunc("PUT /entries", func(w http.ResponseWriter, r *http.Request) {
		var entries []netip.AddrPort
		if control.Decode(w, r, &entries) {
			f.SetEntries(entries)
		}
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if control.Decode(w, r, &faults) {
			f.SetFaults(faults)
		}
	})
	mux.HandleFunc("PUT /blocked", func(w http.ResponseWriter, r *http.Request) {
		var addresses []netip.Addr
		if control.Decode(w, r, &addresses) {
			f.SetBlocked(addresses)
		}
	})
	return mux
}
