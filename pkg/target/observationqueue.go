package target

import "sync"

// observationQueue passes observations to the goroutine that owns a tracker. It
// is unbounded: dropping the start or end of a dispatch would make the dispatch
// counts wrong permanently, and blocking would delay requests.
type observationQueue struct {
	ready chan struct{} // receives a value when observations are pending; capacity 1

	mu      sync.Mutex
	pending []observation
}

func newObservationQueue() *observationQueue {
	return &observationQueue{ready: make(chan struct{}, 1)}
}

// push adds an observation without waiting for the goroutine that owns the
// tracker.
func (q *observationQueue) push(o observation) {
	q.mu.Lock()
	q.pending = append(q.pending, o)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all pending observations in the order of push.
func (q *observationQueue) takeAll() []observation {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.pending
	q.pending = nil
	return taken
}
