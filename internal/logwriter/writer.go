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

	lines  chan []byte
	mu     sync.Mutex
	tokens float64
	filled time.Time
	rate   float64
	told   int64
}

// New returns a Writer to out and the function that writes what waits and ends it. Rate bounds the lines a second; zero
// selects DefaultLinesPerSecond.
func New(out io.Writer, rate float64) (*Writer, func()) {
	if rate == 0 {
		rate = DefaultLinesPerSecond
	}
	w := &Writer{lines: make(chan []byte, queueLines), rate: rate, tokens: rate * burstSeconds, filled: time.Now()}
	var tb tomb.Tomb
	tb.Go(func() error {
		for {
			select {
			case b := <-w.lines:
				w.put(out, b)
			case <-tb.Dying():
				for {
					select {
					case b := <-w.lines:
						w.put(out, b)
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
	if !w.take() {
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

func (w *Writer) put(out io.Writer, b []byte) {
	if n := w.Dropped.Load(); n > w.told {
		_, _ = fmt.Fprintf(out, "level=warn msg=log-lines-dropped total=%d since-last=%d\n", n, n-w.told)
		w.told = n
	}
	_, _ = out.Write(b)
}

func (w *Writer) take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(w.rate*burstSeconds, w.tokens+w.rate*now.Sub(w.filled).Seconds())
	w.filled = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}
