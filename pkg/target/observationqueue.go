package target

import "sync"

// observationQueue passes observations to the goroutine that owns a tracker. It is
// unbounded, since dropping the start or end of a dispatch would skew the
// counts for good and blocking would delay traffic.
type observationQueue struct {
	ready chan struct{} // holds one token while observations wait

	mu      sync.Mutex
	pending []observation
}

func newObservationQueue() *observationQueue {
	return &observationQueue{ready: make(chan struct{}, 1)}
}

// push adds an observation without waiting for the owner.
func (m *observationQueue) push(o observation) {
	m.mu.Lock()
	m.pending = append(m.pending, o)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// takeAll returns all waiting observations in the order of put.
func (m *observationQueue) takeAll() []observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.pending
	m.pending = nil
	return taken
}
