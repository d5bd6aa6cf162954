package gateway

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/phuslu/log"
)

// Limits for submitting settlements.
const (
	outboxWorkers     = 16                     // concurrent submissions; limits the load on a recovering home
	submissionTimeout = 2 * time.Second        // maximum duration of one submission
	initialBackoff    = 100 * time.Millisecond // about the duration of one group commit at the home
	maxBackoff        = 10 * time.Second       // a longer delay is not needed, since a home recovers within seconds
	drainMaxBackoff   = 200 * time.Millisecond // shorter, since shutdown waits for the outbox
	backoffFactor     = 2
)

// Outbox queues settlements and submits each until it is durable. It holds at most one
// settlement per stream. It is safe for concurrent use.
type Outbox struct {
	authorities Authorities
	limit       int
	metrics     *telemetry.Metrics
	logger      *log.Logger

	mu        sync.Mutex
	entries   map[string]*outboxEntry // by stream id
	scheduled outboxHeap              // entries that wait for their next submission
	active    int                     // number of submissions in progress
	draining  bool
	empty     chan struct{} // closed while there are no entries
	wake      chan struct{} // receives a value when run must check for due entries
	ctx       context.Context
	stop      context.CancelFunc
	done      chan struct{} // closed when run and all submissions have ended
}

// NewOutbox starts an outbox. Full returns true once it holds limit settlements.
func NewOutbox(authorities Authorities, limit int, metrics *telemetry.Metrics, logger *log.Logger) *Outbox {
	o := &Outbox{
		authorities: authorities,
		limit:       limit,
		metrics:     metrics,
		logger:      logger,
		entries:     make(map[string]*outboxEntry),
		empty:       make(chan struct{}),
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
	}
	close(o.empty)
	o.ctx, o.stop = context.WithCancel(context.Background())
	go o.run()
	return o
}

// Add queues a settlement for immediate submission. It replaces a queued settlement of
// the same stream, unless that one has outcome Completed: the new settlement may come
// from another reader of the stream, which failed. The returned channel is closed when
// the settlement that was kept is durable.
func (o *Outbox) Add(s home.SettleRequest) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.entries) == 0 {
		o.empty = make(chan struct{})
	}
	e := &outboxEntry{request: s, nextSubmission: time.Now(), backoff: initialBackoff, durable: make(chan struct{})}
	if previous, ok := o.entries[s.Stream]; ok {
		if previous.request.Outcome == home.Completed {
			return previous.durable
		}
		previous.removeFrom(&o.scheduled)
		e.durable, e.submitting = previous.durable, previous.submitting
	}
	o.entries[s.Stream] = e
	if !e.submitting { // otherwise finish schedules it, so that the home receives the settlements in order
		heap.Push(&o.scheduled, e)
	}
	o.metrics.SetPendingSettlements(len(o.entries))
	o.notify()
	return e.durable
}

// Pending returns the number of settlements that are not known to be durable.
func (o *Outbox) Pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.entries)
}

// Full reports whether the outbox has reached its limit. Add still accepts settlements
// of requests that were admitted earlier.
func (o *Outbox) Full() bool { return o.Pending() >= o.limit }

// Drain submits all settlements, with a short backoff between retries, and returns when
// the outbox is empty. It returns the error of ctx if ctx ends earlier.
func (o *Outbox) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	now := time.Now()
	for _, e := range o.scheduled {
		e.nextSubmission = now
	}
	empty := o.empty
	o.notify()
	o.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close cancels submissions in progress, waits for them to end and starts no others.
func (o *Outbox) Close() {
	o.stop()
	<-o.done
}

// run starts each submission when its scheduled time is reached.
func (o *Outbox) run() {
	defer close(o.done)
	var workers sync.WaitGroup
	defer workers.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		batch, wait := o.popDue(time.Now())
		for _, e := range batch {
			workers.Go(func() { o.submit(e) })
		}
		timer.Reset(wait)
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		case <-timer.C:
		}
	}
}

// popDue removes the entries to submit now and returns the time until the next entry is
// due.
func (o *Outbox) popDue(now time.Time) (batch []*outboxEntry, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.active < outboxWorkers && len(o.scheduled) > 0 && !o.scheduled[0].nextSubmission.After(now) {
		e := heap.Pop(&o.scheduled).(*outboxEntry)
		e.submitting = true
		batch = append(batch, e)
		o.active++
	}
	if len(o.scheduled) == 0 || o.active == outboxWorkers {
		// finish or Add wakes the loop earlier.
		return batch, maxBackoff
	}
	return batch, o.scheduled[0].nextSubmission.Sub(now)
}

// submit submits one settlement. If it is not durable afterwards, it is scheduled again.
func (o *Outbox) submit(e *outboxEntry) {
	ctx, cancel := context.WithTimeout(o.ctx, submissionTimeout)
	defer cancel()
	s := e.request
	reply, err := o.authorities.For(s.Customer, s.Budget).Settle(ctx, s)
	if err != nil {
		o.logger.Debug().Str("stream", s.Stream).Err(err).Msg("Settlement failed; submitting it again after a backoff.")
	}
	o.finish(e, err == nil && reply.Durable)
}

// finish records the result of a submission.
func (o *Outbox) finish(e *outboxEntry, durable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active--
	defer o.notify()
	current := o.entries[e.request.Stream]
	current.submitting = false
	if current != e { // a later settlement of the stream has replaced this entry
		heap.Push(&o.scheduled, current)
		return
	}
	if !durable {
		e.scheduleRetry(time.Now(), o.draining)
		heap.Push(&o.scheduled, e)
		return
	}
	delete(o.entries, e.request.Stream)
	close(e.durable)
	o.metrics.SetPendingSettlements(len(o.entries))
	if len(o.entries) == 0 {
		close(o.empty)
	}
}

// notify wakes the loop in run. It does nothing if a wake-up is already pending.
func (o *Outbox) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
