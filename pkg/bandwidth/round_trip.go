package bandwidth

import (
	"net/netip"
	"sync"
	"time"
)

// maxRoundTrips bounds the samples that are kept until they are taken, as each takes a system
// call.
const maxRoundTrips = 64

// RoundTrip is a round-trip time that the kernel has measured on a connection with a peer.
type RoundTrip struct {
	Peer netip.Addr
	Time time.Duration
}

// RoundTrips collects samples from several connections. A nil collector drops them. It is safe for
// concurrent use.
type RoundTrips struct {
	mu      sync.Mutex
	samples []RoundTrip
}

// Wanted reports whether Add would add a sample.
func (r *RoundTrips) Wanted() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.samples) < maxRoundTrips
}

// Add adds a sample, unless there are many already.
func (r *RoundTrips) Add(sample RoundTrip) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.samples) < maxRoundTrips {
		r.samples = append(r.samples, sample)
	}
}

// Take returns the samples since the last call.
func (r *RoundTrips) Take() []RoundTrip {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.samples
	r.samples = nil
	return taken
}
