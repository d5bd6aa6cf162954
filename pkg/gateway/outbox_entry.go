package gateway

import (
	"container/heap"
	"time"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// outboxEntry is a settlement that is not known to be durable.
type outboxEntry struct {
	request        home.SettleRequest
	nextSubmission time.Time     // time of the next submission
	backoff        time.Duration // delay after the next failed submission
	index          int           // position in the heap; -1 during a submission
	durable        chan struct{} // closed when the settlement kept for the stream is durable
	// submitting is whether a submission of a settlement of the stream, this one or one
	// that it replaced, is in progress.
	submitting bool
}

// removeFrom removes the entry from the heap. It does nothing while the entry is being
// submitted, since it is not in the heap then.
func (e *outboxEntry) removeFrom(scheduled *outboxHeap) {
	if e.index >= 0 {
		heap.Remove(scheduled, e.index)
	}
}

// scheduleRetry sets the time of the next submission and doubles the backoff.
func (e *outboxEntry) scheduleRetry(now time.Time, draining bool) {
	longest := maxBackoff
	if draining {
		longest = drainMaxBackoff
	}
	wait := min(e.backoff, longest)
	e.nextSubmission = now.Add(wait)
	e.backoff = min(e.backoff*backoffFactor, maxBackoff)
}
