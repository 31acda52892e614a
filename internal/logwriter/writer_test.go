package logwriter

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedFile is a file whose writes block until release is closed.
type blockedFile struct {
	mu      sync.Mutex
	buffer  bytes.Buffer
	release chan struct{}
}

func (s *blockedFile) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(b)
}

// Guards against packets that wait for the reader of the log, and against dropped lines that are not reported.
func TestBlockedFileDoesNotBlockWrite(t *testing.T) {
	is := is.New(t)
	out := &blockedFile{release: make(chan struct{})}
	w, stop := New(out, 1e6)
	for range 3 * queueLines {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(w.Dropped.Load() >= queueLines)
	close(out.release)
	stop()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.buffer.String(), "log-lines-dropped"))
}

// Guards against a stop that waits forever for a file that accepts no lines.
func TestStopReturnsWhenFileBlocks(t *testing.T) {
	out := &blockedFile{release: make(chan struct{})}
	w, stop := New(out, 0)
	_, _ = w.Write([]byte("line\n"))
	done := make(chan struct{})
	go func() {
		stop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("stop did not return within 20 s")
	}
	close(out.release)
}

// Guards against a log whose size grows with the load.
func TestRateLimitDropsLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w, stop := New(&out, 10)
	for range 200 {
		_, _ = w.Write([]byte("line\n"))
	}
	stop()
	is.True(strings.Count(out.String(), "line\n") <= 10*burstSeconds+1)
	is.True(w.Dropped.Load() > 0)
}
