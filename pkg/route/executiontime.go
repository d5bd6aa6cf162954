package route

import (
	"sync"
	"time"
)

// executionTimeWeight is the weight of one observation in the moving average, so
// that the last 20 to 50 requests count.
const executionTimeWeight = 0.05

// executionTimes are moving averages of the time that a request of each service
// holds a place. They are safe for concurrent use.
type executionTimes struct {
	initial time.Duration // until the first observation

	mu   sync.RWMutex
	means map[string]time.Duration
}

func newExecutionTimes(initial time.Duration) *executionTimes {
	return &executionTimes{initial: initial, means: make(map[string]time.Duration)}
}

// observe takes one request into the average. Negative times are ignored.
func (o *executionTimes) observe(service string, d time.Duration) {
	if d < 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	mean, known := o.means[service]
	if !known {
		o.means[service] = d
		return
	}
	o.means[service] = mean + time.Duration(executionTimeWeight*float64(d-mean))
}

// estimate returns the average estimate a service.
func (o *executionTimes) estimate(service string) time.Duration {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if mean, known := o.means[service]; known {
		return mean
	}
	return o.initial
}
