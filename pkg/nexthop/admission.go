package nexthop

import "sync/atomic"

// How many requests of other hosts a host serves at a time.
const (
	// requestsPerCore leaves a quarter of the processor: 180 requests at a time on 0.4 cores are
	// about 260 a second, of 1.1 ms each.
	requestsPerCore = 450
	// requestsPerMbps keeps the event streams below half of a link of 10 Mbit/s.
	requestsPerMbps = 4
	// minRequests is taken by the smallest host.
	minRequests = 8
	// defaultRequests is taken if neither processor nor link of the host is known.
	defaultRequests = 100
)

// Limit returns the number of requests of other hosts that a host serves at a time. cores and
// the link, in Mbit/s, are 0 if they are not known.
func Limit(cores, linkMbps float64) int {
	limit := float64(defaultRequests)
	if cores > 0 {
		limit = requestsPerCore * cores
	}
	if linkMbps > 0 {
		limit = min(limit, requestsPerMbps*linkMbps)
	}
	return max(minRequests, int(limit))
}

// Admission bounds the requests that a host serves for others. It is safe for concurrent use.
type Admission struct {
	limit int64
	open  atomic.Int64
}

// NewAdmission returns an admission of at most limit requests at a time.
func NewAdmission(limit int) *Admission { return &Admission{limit: int64(limit)} }

// Enter reports whether a request is admitted. Leave must be called at its end if it is.
func (a *Admission) Enter() bool {
	if a.open.Add(1) > a.limit {
		a.open.Add(-1)
		return false
	}
	return true
}

// Leave ends a request that was admitted.
func (a *Admission) Leave() { a.open.Add(-1) }

// Open returns the number of open requests.
func (a *Admission) Open() int { return int(a.open.Load()) }
