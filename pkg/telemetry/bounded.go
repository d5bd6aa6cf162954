package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is how many log lines wait to be written.
	boundedLines = 2048
	// batchBytes bounds what is written at once.
	batchBytes = 32 << 10
	// flushTimeout bounds the wait of Close for a slow output.
	flushTimeout = 500 * time.Millisecond
)

// BoundedWriter writes log lines in the background, so that a slow output never
// delays a request. Lines beyond its room are dropped, counted and reported in
// the output. It is safe for concurrent use.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
	mu      sync.RWMutex // guards closed
	closed  bool
}

// NewBoundedWriter returns a writer to out. It must be closed to write what waits.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *BoundedWriter) Dropped() int64 { return w.total.Load() }

// Close writes what waits, for a short time.
func (w *BoundedWriter) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-time.After(flushTimeout):
		return fmt.Errorf("log output did not take the last lines within %v", flushTimeout)
	}
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < batchBytes; {
			select {
			case next, ok := <-w.lines:
				if !ok {
					w.flush(batch)
					return
				}
				batch = append(batch, next...)
			default:
				more = false
			}
		}
		w.flush(batch)
	}
}

// flush writes a batch. An output that fails has nobody to tell.
func (w *BoundedWriter) flush(batch []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, `{"level":"warn","component":"log","dropped":%d,"message":"Log lines dropped."}`+"\n", n)
	}
	_, _ = w.out.Write(batch)
}
