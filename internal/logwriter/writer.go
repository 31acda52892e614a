package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// queueLines is the number of lines that wait for the file.
	queueLines = 256
	// DefaultLinesPerSecond bounds the lines; a line is about 200 bytes.
	DefaultLinesPerSecond = 100
	// burstSeconds is the time whose lines may come at once.
	burstSeconds = 3
	// closeTimeout is the time that the last lines have to be written.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that does not block.
type Writer struct {
	// Dropped counts the lines that were dropped.
	Dropped atomic.Int64

	lines          chan []byte
	mu             sync.Mutex
	tokens         float64
	refilledAt     time.Time
	linesPerSecond float64
	reportedDrops  int64
}

// New returns a Writer to out and the function that writes what waits and ends it. Rate bounds the lines a second; zero
// selects DefaultLinesPerSecond.
func New(out io.Writer, linesPerSecond float64) (*Writer, func()) {
	if linesPerSecond == 0 {
		linesPerSecond = DefaultLinesPerSecond
	}
	w := &Writer{lines: make(chan []byte, queueLines), linesPerSecond: linesPerSecond, tokens: linesPerSecond * burstSeconds, refilledAt: time.Now()}
	var tb tomb.Tomb
	tb.Go(func() error {
		for {
			select {
			case b := <-w.lines:
				w.writeLine(out, b)
			case <-tb.Dying():
				for {
					select {
					case b := <-w.lines:
						w.writeLine(out, b)
					default:
						return nil
					}
				}
			}
		}
	})
	return w, func() {
		tb.Kill(nil)
		select {
		case <-tb.Dead():
		case <-time.After(closeTimeout): // The file takes nothing more.
		}
	}
}

// Write queues one line; it is dropped when the queue is full or the rate is used up.
func (w *Writer) Write(b []byte) (int, error) {
	if !w.allow() {
		w.Dropped.Add(1)
		return len(b), nil
	}
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.Dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing; it makes the Writer fit for zap.
func (w *Writer) Sync() error { return nil }

func (w *Writer) writeLine(out io.Writer, b []byte) {
	if n := w.Dropped.Load(); n > w.reportedDrops {
		_, _ = fmt.Fprintf(out, "level=warn msg=log-lines-dropped total=%d since-last=%d\n", n, n-w.reportedDrops)
		w.reportedDrops = n
	}
	_, _ = out.Write(b)
}

func (w *Writer) allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(w.linesPerSecond*burstSeconds, w.tokens+w.linesPerSecond*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}
