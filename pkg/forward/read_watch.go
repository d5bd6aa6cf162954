package forward

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultMinReadRate is Options.MinReadRate if none is set, in bytes per second. A caller at
	// 10 kbit/s takes 1,250.
	defaultMinReadRate = 1 << 10
	// defaultReadWindow is Options.ReadWindow if none is set. A caller at 10 kbit/s may then
	// accept its response in steps of 12 KB.
	defaultReadWindow = 10 * time.Second
	// readSamples is the number of looks at the connection in each window.
	readSamples = 10
)

// readWatch abandons a response whose caller does not read while others need what the response
// holds. A nil readWatch does nothing.
type readWatch struct {
	socket   CallerSocket
	needed   func() NeededResource
	interval time.Duration
	writes   atomic.Int64 // starts and ends of writes; odd while one is in progress

	mu        sync.Mutex
	timer     *time.Timer
	rate      readRate
	stopped   bool
	abandoned NeededResource // "": the response was not abandoned
}

// watchReads starts to watch the writes of a response. It returns nil if the connection to the
// caller is unknown.
func (c *call) watchReads(needed func() NeededResource) *readWatch {
	if c.h.CallerSocket == nil {
		return nil
	}
	socket := c.h.CallerSocket(c.r.Context())
	if socket == nil {
		return nil
	}
	w := &readWatch{socket: socket, needed: needed, interval: c.h.ReadWindow / readSamples, rate: readRate{minRate: c.h.MinReadRate, window: c.h.ReadWindow}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.interval, w.sample)
	return w
}

// begin records that a write begins, and end that it has ended.
func (w *readWatch) begin() { w.count() }
func (w *readWatch) end()   { w.count() }

func (w *readWatch) count() {
	if w != nil {
		w.writes.Add(1)
	}
}

// sample looks at the connection, and abandons the response if the caller is too slow and its
// resources are needed.
func (w *readWatch) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	var acknowledged int64
	waiting := w.writes.Load()%2 == 1
	if waiting {
		var ok bool
		if acknowledged, waiting, ok = w.socket.Acknowledged(); !ok {
			return // only the deadline applies
		}
	}
	if w.rate.slow(time.Now(), acknowledged, waiting) {
		if w.abandoned = w.needed(); w.abandoned != "" {
			w.socket.Abort()
			return
		}
	}
	w.timer.Reset(w.interval)
}

// stop ends the watch. It returns the resource for which the response was abandoned, "" if it
// was not.
func (w *readWatch) stop() NeededResource {
	if w == nil {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.abandoned
}
