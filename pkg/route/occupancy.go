package route

import (
	"sync"
	"time"
)

// occupancyWeight is the weight of one observation in the moving average, so
// that the last 20 to 50 requests count.
const occupancyWeight = 0.05

// occupancies are moving averages of the time that a request of each service
// holds a place. They are safe for concurrent use.
type occupancies struct {
	initial time.Duration // until the first observation

	mu   sync.RWMutex
	mean map[string]time.Duration
}

func newOccupancies(initial time.Duration) *occupancies {
	return &occupancies{initial: initial, mean: make(map[string]time.Duration)}
}

// observe takes one request into the average. Negative times are ignored.
func (o *occupancies) observe(service string, d time.Duration) {
	if d < 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	mean, known := o.mean[service]
	if !known {
		o.mean[service] = d
		return
	}
	o.mean[service] = mean + time.Duration(occupancyWeight*float64(d-mean))
}

// of returns the average of a service.
func (o *occupancies) of(service string) time.Duration {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if mean, known := o.mean[service]; known {
		return mean
	}
	return o.initial
}
