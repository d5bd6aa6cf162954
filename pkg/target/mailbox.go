package target

import "sync"

// mailbox passes observations to the goroutine that owns a tracker. It is
// unbounded, since dropping the start or end of a dispatch would skew the
// counts for good and blocking would delay traffic.
type mailbox struct {
	wake chan struct{} // holds one token while observations wait

	mu      sync.Mutex
	pending []observation
}

func newMailbox() *mailbox {
	return &mailbox{wake: make(chan struct{}, 1)}
}

// put adds an observation without waiting for the owner.
func (m *mailbox) put(o observation) {
	m.mu.Lock()
	m.pending = append(m.pending, o)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take returns all waiting observations in the order of put.
func (m *mailbox) take() []observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.pending
	m.pending = nil
	return taken
}
