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

// ErrNotGreater refuses a publication whose version is not greater than the last one.
const ErrNotGreater = errors.ConstError("the version is not greater than the published one")

// MaxWait is the longest time that a read may wait.
const MaxWait = time.Minute

// Versions kept of each document; the oldest one always stays, for SetOld.
const maxVersions = 16

// Server is the stand-in; the zero value serves nothing until something is published.
type Server struct {
	mu        sync.Mutex
	documents map[string][]published // the oldest first
	vms       []byte
	changed   chan struct{} // closed and replaced with each change
	down      bool
	stale     bool
	readDelay time.Duration
	reads     int
}

type published struct {
	version uint64
	bytes   []byte
}

// Publish accepts a document of the kind inventory or rules with a greater version. It does not validate the rest,
// because the real service does not either.
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

// SetVMs sets the JSON of the list of VMs.
func (s *Server) SetVMs(b []byte) error {
	if !json.Valid(b) {
		return errors.NotValidf("JSON of the VM list")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = b
	return nil
}

// SetDown makes the server answer with 503 to every read, the waiting ones included.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyReaders()
}

// SetDelay delays every response.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDelay = d
}

// SetStale makes the server serve the oldest version of each document, whatever is asked for.
func (s *Server) SetStale(old bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = old
	s.notifyReaders()
}

// Reads returns the number of reads so far.
func (s *Server) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

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
	deadline := time.NewTimer(min(time.Duration(min(wait, 3600))*time.Second, MaxWait))
	defer deadline.Stop()
	slow := s.countRead()
	for expired := false; ; {
		d, down, changed := s.current(kind, after)
		if down || d.bytes != nil || expired {
			s.delay(r, slow)
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

func (s *Server) countRead() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.readDelay
}

// Returns what a read gets now, and a channel that is closed when that may have changed.
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
		_, _ = w.Write(b) // A reader that went away needs no answer.
	}
}

func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
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

// Turns a fault on or off: down and old take value=true or false, slow takes a duration.
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
