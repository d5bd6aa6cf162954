package telemetry

import (
	"io"
	"sync"
)

// lockedWriter serializes writes, so that lines of concurrent loggers do not mix.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}
