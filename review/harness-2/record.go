package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/masticspar/masticspar/platform/standin/backend"
)

// run is a request that a server has begun to work on.
type run struct {
	server  string
	born    int64
	request string
	at      time.Time
}

// recorder writes what was sent, answered and run.
type recorder struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	runs []run
}

func newRecorder(name string) (*recorder, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(time.Now(), format, args...)
}

func (r *recorder) line(at time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", at.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) run(b *backend.Server, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.runs = append(r.runs, run{b.Name, b.Started, request, now})
	r.line(now, "run %s by %s (born %d)", request, b.Name, b.Started)
}

func (r *recorder) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
