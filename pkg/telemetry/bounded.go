package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the capacity of the queue of log lines.
	maxQueuedLines = 2048
	// maxBatchBytes is the size at which no more lines are added to a batch.
	maxBatchBytes = 32 << 10
	// flushTimeout limits how long Close waits for the queued lines to be written.
	flushTimeout = 500 * time.Millisecond
)

// BoundedWriter writes log lines in the background, so that a slow output does not
// delay requests. When its queue is full, it drops lines, counts them and reports
// the count in the output. It is safe for concurrent use.
type BoundedWriter struct {
	out             io.Writer
	lines           chan []byte
	unreportedDrops atomic.Int64  // number of dropped lines that the output does not report yet
	totalDrops      atomic.Int64  // number of dropped lines since the start
	done            chan struct{} // closed after the last queued line was written
	mu              sync.RWMutex  // guards closed
	closed          bool
}

// NewBoundedWriter returns a writer to out. It must be closed to write the lines
// that are still queued.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.writeLoop()
	return w
}

// Write implements io.Writer. It does not wait for the output and never fails. Lines
// written after Close are discarded.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.unreportedDrops.Add(1)
		w.totalDrops.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *BoundedWriter) Dropped() int64 { return w.totalDrops.Load() }

// Close writes the queued lines. It returns an error if that takes longer than
// flushTimeout.
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

func (w *BoundedWriter) writeLoop() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxBatchBytes; {
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

// flush writes a batch and the count of lines dropped since the last report. Errors
// are ignored, since there is no other place to report them.
func (w *BoundedWriter) flush(batch []byte) {
	if n := w.unreportedDrops.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, `{"level":"warn","component":"log","dropped":%d,"message":"Log lines dropped."}`+"\n", n)
	}
	_, _ = w.out.Write(batch)
}
