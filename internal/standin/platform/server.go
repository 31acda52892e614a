package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/masticspar/masticspar/internal/document"
)

// ErrNotGreater is returned for a publication whose version is not greater than the published one.
const ErrNotGreater = errors.ConstError("the version is not greater than the published one")

// MaxWait is the maximum duration of a long poll.
const MaxWait = time.Minute

// maxVersions is the number of versions kept of each document. The oldest version is always kept, for SetStale.
const maxVersions = 16

// Server simulates the service. The zero value is ready for use and has no documents. It is safe for concurrent use.
type Server struct {
	mu        sync.Mutex
	documents map[string][]published // by kind, oldest first
	vms       []byte                 // JSON; nil is an empty list
	changed   chan struct{}          // closed and replaced with each change
	era       uint64                 // number of times that the service was restored
	down      bool
	stale     bool
	readDelay time.Duration
	reads     int
}

type published struct {
	version uint64
	bytes   []byte
}

// Publish publishes a document of the kind inventory or rules. Its version must be greater than the published one. Like
// the real service, it does not validate the rest of the document.
func (s *Server) Publish(kind string, b []byte) error {
	if kind != "inventory" && kind != "rules" {
		return errors.NotValidf("document kind %q", kind)
	}
	if len(b) > document.MaxSize {
		return errors.NotValidf("document of %d bytes (at most %d)", len(b), document.MaxSize)
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(b, &head); err != nil {
		return errors.NewNotValid(err, "document")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if all := s.documents[kind]; head.Version <= latest(all).version {
		return errors.WithType(errors.Errorf("version %d, published is %d", head.Version, latest(all).version), ErrNotGreater)
	}
	if s.documents == nil {
		s.documents = map[string][]published{}
	}
	s.documents[kind] = append(s.documents[kind], published{head.Version, b})
	if all := s.documents[kind]; len(all) > maxVersions {
		s.documents[kind] = slices.Delete(all, 1, 2)
	}
	s.notifyReaders()
	return nil
}

// SetVMs sets the list of VMs, encoded as JSON.
func (s *Server) SetVMs(b []byte) error {
	if !json.Valid(b) {
		return errors.NotValidf("JSON of the VM list")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = b
	return nil
}

// SetDown sets whether the server responds to every read, including pending long polls, with status 503.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyReaders()
}

// SetDelay sets the delay of every response to a read.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDelay = d
}

// SetStale sets whether the server serves the oldest version of each document, whichever version is requested.
func (s *Server) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
	s.notifyReaders()
}

// Restore drops the newest n versions of each document, as a service that was restored from a copy does, and raises the
// era. Pending long polls are cut.
func (s *Server) Restore(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for kind, all := range s.documents {
		s.documents[kind] = all[:max(0, len(all)-n)]
	}
	s.notifyReaders()
}

// Reads returns the number of reads so far.
func (s *Server) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// notifyReaders makes pending long polls check for a change.
func (s *Server) notifyReaders() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /documents/{kind}", s.getDocument)
	m.HandleFunc("GET /vms", s.getVMs)
	m.HandleFunc("POST /publish/{kind}", s.postPublish)
	m.HandleFunc("POST /switch/{name}", s.postSwitch)
	return m
}

func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		http.Error(w, "after must be a version", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.FormValue("wait"))
	if err != nil && r.FormValue("wait") != "" || wait < 0 {
		http.Error(w, "wait must be a number of seconds", http.StatusBadRequest)
		return
	}
	if kind != "inventory" && kind != "rules" {
		http.NotFound(w, r)
		return
	}
	era := s.writeEra(w)
	if known := r.FormValue("era"); known != "" && known != strconv.FormatUint(era, 10) {
		after, wait = 0, 0 // The version that the reader has is from before the restore.
	}
	// The inner limit prevents an overflow of the duration.
	deadline := time.NewTimer(min(time.Duration(min(wait, 3600))*time.Second, MaxWait))
	defer deadline.Stop()
	responseDelay := s.countRead()
	for expired := false; ; {
		d, down, changed := s.current(kind, after)
		if s.currentEra() != era {
			panic(http.ErrAbortHandler)
		}
		if down || d.bytes != nil || expired {
			s.delay(r, responseDelay)
			respond(w, d.bytes, down)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// writeEra writes the era to the header of a response and returns it.
func (s *Server) writeEra(w http.ResponseWriter) uint64 {
	era := s.currentEra()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	return era
}

func (s *Server) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// countRead counts a read and returns the delay of its response.
func (s *Server) countRead() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.readDelay
}

// current returns the document for a read, without bytes if there is none, whether the server is down, and a channel
// that is closed at the next change.
func (s *Server) current(kind string, after uint64) (d published, down bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if all := s.documents[kind]; s.stale && len(all) > 0 {
		d = all[0]
	} else if l := latest(all); l.version > after {
		d = l
	}
	return d, s.down, s.changed
}

// delay waits for d, or until the client disconnects.
func (s *Server) delay(r *http.Request, d time.Duration) {
	if d == 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

func respond(w http.ResponseWriter, b []byte, down bool) {
	switch {
	case down:
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
	case b == nil:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(b) // an error means that the client has disconnected
	}
}

func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
	s.writeEra(w)
	s.delay(r, s.countRead())
	s.mu.Lock()
	b, down := s.vms, s.down
	s.mu.Unlock()
	if b == nil {
		b = []byte("[]")
	}
	respond(w, b, down)
}

func (s *Server) postPublish(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, document.MaxSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	switch err := s.Publish(r.PathValue("kind"), b); {
	case errors.Is(err, ErrNotGreater):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// postSwitch switches a fault: the values of down and old are true or false, the value of slow is a duration, that of
// restored the number of lost versions.
func (s *Server) postSwitch(w http.ResponseWriter, r *http.Request) {
	name, value := r.PathValue("name"), r.FormValue("value")
	on, err := strconv.ParseBool(value)
	switch name {
	case "down":
		if err == nil {
			s.SetDown(on)
		}
	case "old":
		if err == nil {
			s.SetStale(on)
		}
	case "slow":
		var d time.Duration
		if d, err = time.ParseDuration(value); err == nil {
			s.SetDelay(d)
		}
	case "restored":
		var n uint64
		if n, err = strconv.ParseUint(value, 10, 8); err == nil {
			s.Restore(int(n))
		}
	default:
		http.NotFound(w, r)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func latest(all []published) published {
	if len(all) == 0 {
		return published{}
	}
	return all[len(all)-1]
}
