package forward

import (
	"slices"
	"sync"
	"time"
)

// answerTimesKept is the number of recent answers of each route whose times are kept.
const answerTimesKept = 64

// answerTimes holds how long the most recent answers of each route took, from the receipt of the
// request to the end of the answer. It is safe for concurrent use.
type answerTimes struct {
	mu      sync.Mutex
	byRoute map[string]*recentTimes
}

// recentTimes are the times of the last answers, in a ring.
type recentTimes struct {
	times []time.Duration
	next  int // index of the oldest time once the ring is full
}

func (a *answerTimes) add(route string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byRoute == nil {
		a.byRoute = make(map[string]*recentTimes)
	}
	r := a.byRoute[route]
	if r == nil {
		r = &recentTimes{}
		a.byRoute[route] = r
	}
	if len(r.times) < answerTimesKept {
		r.times = append(r.times, d)
		return
	}
	r.times[r.next] = d
	r.next = (r.next + 1) % answerTimesKept
}

// longest returns the longest of the recent times of a route, false if there was no answer.
func (a *answerTimes) longest(route string) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.byRoute[route]
	if r == nil {
		return 0, false
	}
	return slices.Max(r.times), true
}
