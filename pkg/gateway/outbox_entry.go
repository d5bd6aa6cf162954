package gateway

import (
	"container/heap"
	"time"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// outboxEntry is a settlement that is not known to be durable.
type outboxEntry struct {
	request        home.SettleRequest
	nextSubmission time.Time     // next submission
	backoff        time.Duration // wait after the next failure
	index          int           // position in the heap; -1 during a submission
	durable        chan struct{} // closed when a settlement of the stream is durable
}

// leave removes the entry from the heap unless a submission is under way.
func (e *outboxEntry) removeFrom(scheduled *outboxHeap) {
	if e.index >= 0 {
		heap.Remove(scheduled, e.index)
	}
}

// retry sets the time of the next submission.
func (e *outboxEntry) scheduleRetry(now time.Time, draining bool) {
	longest := maxBackoff
	if draining {
		longest = drainMaxBackoff
	}
	wait := min(e.backoff, longest)
	e.nextSubmission = now.Add(wait)
	e.backoff = min(e.backoff*backoffFactor, maxBackoff)
}
