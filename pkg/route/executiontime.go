package route

import (
	"sync"
	"time"
)

// executionTimeWeight is the weight of one observation in the exponential
// moving average. At 0.05 the average reflects the last 20 to 50 requests.
const executionTimeWeight = 0.05

// executionTimes holds, per service, a moving average of the time that a
// request holds a slot of its target. It is safe for concurrent use.
type executionTimes struct {
	initial time.Duration // estimate for a service without observations

	mu    sync.RWMutex
	means map[string]time.Duration // moving average by service
}

func newExecutionTimes(initial time.Duration) *executionTimes {
	return &executionTimes{initial: initial, means: make(map[string]time.Duration)}
}

// observe adds the execution time of one request to the average of a service.
// Negative times are ignored.
func (e *executionTimes) observe(service string, d time.Duration) {
	if d < 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, known := e.means[service]
	if !known {
		e.means[service] = d
		return
	}
	e.means[service] = mean + time.Duration(executionTimeWeight*float64(d-mean))
}

// estimate returns the average of a service, or the initial estimate before its
// first observation.
func (e *executionTimes) estimate(service string) time.Duration {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if mean, known := e.means[service]; known {
		return mean
	}
	return e.initial
}
