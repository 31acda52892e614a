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
	// queueLines is the maximum number of lines that wait for the file.
	queueLines = 256
	// DefaultLinesPerSecond is the default rate limit; a line has about 200 bytes.
	DefaultLinesPerSecond = 100
	// burstSeconds is the size of a burst in seconds: the lines that the rate limit permits in that time may come at
	// once.
	burstSeconds = 3
	// closeTimeout bounds the time for writing the queued lines when the Writer is closed.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that does not block.
type Writer struct {
	// Dropped is the number of lines dropped since New.
	Dropped atomic.Int64

	lines          chan []byte
	mu             sync.Mutex
	tokens         float64 // lines that may be written now
	refilledAt     time.Time
	linesPerSecond float64
	reportedDrops  int64
}

// New returns a Writer to out and a function that writes the queued lines and stops the Writer. The rate limit is
// linesPerSecond; zero selects DefaultLinesPerSecond.
func New(out io.Writer, linesPerSecond float64) (*Writer, func()) {
	if linesPerSecond == 0 {
		linesPerSecond = DefaultLinesPerSecond
	}
	w := &Writer{
		lines: make(chan []byte, queueLines), linesPerSecond: linesPerSecond, tokens: linesPerSecond * burstSeconds,
		refilledAt: time.Now(),
	}
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
		case <-time.After(closeTimeout): // The file blocks, so the queued lines are lost.
		}
	}
}

// Write queues one line. The line is dropped when the queue is full or the rate limit is exceeded; the error is always
// nil.
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

// Sync does nothing; zap requires it.
func (w *Writer) Sync() error { return nil }

func (w *Writer) writeLine(out io.Writer, b []byte) {
	if n := w.Dropped.Load(); n > w.reportedDrops {
		_, _ = fmt.Fprintf(out, "level=warn msg=log-lines-dropped total=%d since-last=%d\n", n, n-w.reportedDrops)
		w.reportedDrops = n
	}
	_, _ = out.Write(b)
}

// allow reports whether the rate limit permits another line and, if so, counts the line.
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
