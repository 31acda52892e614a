package backend

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/timer"
)

func do(s *Server, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, strings.TrimSpace(w.Body.String())
}

// Guards against control requests that apply to the wrong host or have no effect.
func TestControl(t *testing.T) {
	is := is.New(t)
	s := &Server{
		Name: "h", Address: netip.MustParseAddrPort("127.9.7.1:0"), Count: 2, Fabric: netip.MustParseAddrPort("127.0.0.1:9"),
		Services: []netip.AddrPort{service}, ServiceTime: time.Second, Speeds: []float64{1, 4}, Timer: &timer.Service{},
	}
	stop, err := s.Start()
	is.NoErr(err)
	defer stop()
	code, _ := do(s, http.MethodPut, "/mode?host=h-1", `{"mode": "slow", "factor": 2}`)
	is.Equal(code, http.StatusNoContent)
	var hosts map[string]HostReport
	_, body := do(s, http.MethodGet, "/hosts", "")
	is.NoErr(json.Unmarshal([]byte(body), &hosts))
	is.Equal([]float64{hosts["h-0"].Capacity, hosts["h-1"].Capacity}, []float64{2, 4})
	code, _ = do(s, http.MethodPut, "/mode?host=h-2", `{}`)
	is.Equal(code, http.StatusNotFound)
	code, _ = do(s, http.MethodPut, "/mode", `{"moode": "slow"}`)
	is.Equal(code, http.StatusBadRequest)

	do(s, http.MethodPut, "/health?host=h-0", `{"healthy": false, "load": 7}`)
	_, body = do(s, http.MethodGet, "/health?host=h-0", "")
	is.Equal(body, `{"healthy":false,"load":7}`)
	_, body = do(s, http.MethodGet, "/health?host=h-1", "")
	is.Equal(body, `{"healthy":true,"load":0}`)
	do(s, http.MethodDelete, "/health", "")
	_, body = do(s, http.MethodGet, "/health?host=h-0", "")
	is.Equal(body, `{"healthy":true,"load":0}`)

	s.recordExecution("once")
	s.recordExecution("twice")
	s.recordExecution("twice")
	_, body = do(s, http.MethodGet, "/tokens?repeated=1", "")
	is.Equal(body, `{"twice":2}`)
}

// Guards against a partitioned or dead host that still handles packets, and against a restarted host that still has its
// old connections.
func TestBlockedAndDeadHostsSendNothing(t *testing.T) {
	is := is.New(t)
	h, sent := newHost(t)
	syn := packet.Segment{Key: key(packet.TCP, 1), Seq: 10, SYN: true}
	h.Blocked = map[netip.Addr]bool{source.Addr(): true}
	deliver(t, h, 0, syn)
	is.Equal(len(*sent), 0)
	b, err := syn.Bytes()
	is.NoErr(err)
	h.HandleDatagram(0, netip.MustParseAddrPort("127.2.0.2:6081"),
		geneve.Append(nil, b, geneve.ToService, 0, netip.Addr{}))
	is.Equal(len(*sent), 1)
	h.Blocked = nil
	h.SetMode(0, Mode{Kind: ModeDead})
	deliver(t, h, 0, syn)
	h.Tick(time.Second)
	is.Equal(len(*sent), 1)
	h.SetMode(0, Mode{})
	deliver(t, h, 0, packet.Segment{Key: syn.Key, Seq: 10, Ack: (*sent)[0].Seq + 1, ACK: true})
	is.True((*sent)[1].RST) // want a reset for a segment of the old connection
}
