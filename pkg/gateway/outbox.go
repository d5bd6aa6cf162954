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

// Limits of the resubmission.
const (
	outboxWorkers     = 16                     // settlements in submission at once; bounds the load on a home that recovers
	submissionTimeout = 2 * time.Second        // longest wait for one submission
	initialBackoff    = 100 * time.Millisecond // about one group commit
	maxBackoff        = 10 * time.Second       // a home is back in service within seconds
	drainMaxBackoff   = 200 * time.Millisecond // at shutdown the host waits for the outbox
	backoffFactor     = 2
)

// Outbox resubmits settlements until they are durable. It holds one per
// stream. It is safe for concurrent use.
type Outbox struct {
	authorities Authorities
	limit       int
	metrics     *telemetry.Metrics
	logger      *log.Logger

	mu        sync.Mutex
	entries   map[string]*outboxEntry // by stream
	scheduled outboxHeap
	active    int // submissions under way
	draining  bool
	empty     chan struct{} // closed while there are no entries
	wake      chan struct{}
	ctx       context.Context
	stop      context.CancelFunc
	done      chan struct{}
}

// NewOutbox returns a running outbox. Full reports when it holds limit settlements.
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

// Add submits a settlement as soon as a worker is free. It replaces a waiting
// one of the stream, unless that says that the answer was complete: another
// reader of the same stream may have failed. The returned channel is closed
// when the settlement that was kept is durable.
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
		e.durable = previous.durable
	}
	o.entries[s.Stream] = e
	heap.Push(&o.scheduled, e)
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

// Full reports whether the outbox has reached its limit. Add still accepts
// the settlements of requests that were admitted before.
func (o *Outbox) Full() bool { return o.Pending() >= o.limit }

// Drain submits everything without long waits until nothing is left, or
// returns the error of ctx.
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

// Close ends the resubmission and waits for submissions under way.
func (o *Outbox) Close() {
	o.stop()
	<-o.done
}

// run starts submissions when they are due.
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

// takeDue removes the entries to submit now and returns the time until the next.
func (o *Outbox) popDue(now time.Time) (batch []*outboxEntry, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.active < outboxWorkers && len(o.scheduled) > 0 && !o.scheduled[0].nextSubmission.After(now) {
		batch = append(batch, heap.Pop(&o.scheduled).(*outboxEntry))
		o.active++
	}
	if len(o.scheduled) == 0 || o.active == outboxWorkers {
		// The end of a submission or an Add wakes the loop.
		return batch, maxBackoff
	}
	return batch, o.scheduled[0].nextSubmission.Sub(now)
}

// submit settles one entry and puts it back if it is not durable.
func (o *Outbox) submit(e *outboxEntry) {
	ctx, cancel := context.WithTimeout(o.ctx, submissionTimeout)
	defer cancel()
	s := e.request
	reply, err := o.authorities.For(s.Customer, s.Budget).Settle(ctx, s)
	if err != nil {
		o.logger.Debug().Str("stream", s.Stream).Err(err).Msg("Settlement failed and will be repeated.")
	}
	o.finish(e, err == nil && reply.Durable)
}

// finish records the result of a submission.
func (o *Outbox) finish(e *outboxEntry, durable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active--
	defer o.notify()
	if o.entries[e.request.Stream] != e {
		// A later settlement of the stream has replaced it.
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

// notify wakes the loop. A wake that is already waiting is enough.
func (o *Outbox) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
