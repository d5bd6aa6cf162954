package target

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Poller reads the reports of targets and updates a Tracker, which only the
// goroutine of Run uses. One read is one request for the report of one target;
// the poll interval is the time between two reads of a target. All other methods
// may be called from any goroutine and never wait for the goroutine of Run.
type Poller struct {
	settings      PollerSettings
	tracker       *Tracker
	schedule      *schedule
	observations  *observationQueue
	publisher     *publisher
	readSlots     chan struct{} // limits the number of concurrent reads
	finishedReads chan string   // ids of the targets whose read has ended
	activeReads   sync.WaitGroup
}

// NewPoller returns a poller without targets. It reads nothing until Run is
// called.
func NewPoller(settings PollerSettings) *Poller {
	settings = settings.withDefaults()
	p := &Poller{
		settings:      settings,
		tracker:       NewTracker(settings.Limits),
		schedule:      newSchedule(settings.Interval, settings.MaxReportRate),
		observations:  newObservationQueue(),
		publisher:     newPublisher(),
		readSlots:     make(chan struct{}, settings.Concurrency),
		finishedReads: make(chan string, settings.Concurrency),
	}
	return p
}

// Run reads reports until ctx ends, and returns after all reads have ended.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer p.publisher.timer.Stop()
	defer p.activeReads.Wait()
	var queue []Target // targets whose report is due but for which no read slot is free
	for {
		queue = p.startReads(ctx, queue)
		select {
		case <-ctx.Done():
			return
		case <-p.observations.ready:
			p.applyObservations()
		case <-p.publisher.timer.C:
			p.publisher.publish(p.tracker, time.Now())
		case id := <-p.finishedReads:
			p.schedule.readEnded(id)
		case now := <-ticker.C:
			p.tracker.Tick(now)
			p.publisher.update(p.tracker, now)
			queue = append(queue, p.schedule.startDue(p.View(), now)...)
		}
	}
}

// applyObservations applies all pending observations to the tracker.
func (p *Poller) applyObservations() {
	for _, o := range p.observations.takeAll() {
		o.apply(p.tracker)
	}
	p.publisher.update(p.tracker, time.Now())
}

// startReads starts a read for as many queued targets as there are free read
// slots, and returns the remaining queue.
func (p *Poller) startReads(ctx context.Context, queue []Target) []Target {
	for len(queue) > 0 {
		select {
		case p.readSlots <- struct{}{}:
			p.activeReads.Add(1)
			go p.runRead(ctx, queue[0])
			queue = queue[1:]
		default:
			return queue
		}
	}
	return nil
}

// runRead reads one report, frees the read slot and signals the end of the
// read.
func (p *Poller) runRead(ctx context.Context, t Target) {
	defer p.activeReads.Done()
	p.fetchAndObserve(ctx, t)
	<-p.readSlots
	select {
	case p.finishedReads <- t.ID:
	case <-ctx.Done():
	}
}

// fetchAndObserve reads one report and queues the outcome as an observation.
func (p *Poller) fetchAndObserve(ctx context.Context, t Target) {
	snapshot, err := p.fetchReport(ctx, t)
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		// The end of Run cancelled the read, which says nothing about the target.
	case err == nil:
		p.observations.push(observedReport{id: t.ID, addr: t.Addr, snapshot: snapshot, at: now})
	default:
		p.observations.push(observedReportFailure{id: t.ID, addr: t.Addr, dispatchWouldFail: dispatchWouldFail(err), at: now})
	}
}

// fetchReport reads the report of t with the adapter for its kind.
func (p *Poller) fetchReport(ctx context.Context, t Target) (Snapshot, error) {
	adapter, ok := p.settings.Adapters[t.Kind]
	if !ok {
		return Snapshot{}, fmt.Errorf("no report adapter for targets of kind %q", t.Kind)
	}
	return adapter.Report(ctx, t)
}

// dispatchWouldFail reports whether the error of a failed read implies that a
// dispatch would fail too.
func dispatchWouldFail(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrLoading)
}

// View returns the latest published view. The caller must not change it.
func (p *Poller) View() []Status { return p.publisher.current() }

// Apply queues a new membership list and the services of the configuration
// bundle in force. The caller must not change them afterwards.
func (p *Poller) Apply(members []storage.Member, services map[string]ServiceInfo) {
	p.observations.push(observedMembers{members: members, services: services, at: time.Now()})
}

// DispatchStarted records the start of a dispatch to a target.
func (p *Poller) DispatchStarted(id string) {
	p.observations.push(observedDispatchStart{id: id, at: time.Now()})
}

// DispatchEnded records the end of a dispatch that was recorded with
// DispatchStarted.
func (p *Poller) DispatchEnded(id string) {
	p.observations.push(observedDispatchEnd{id: id, at: time.Now()})
}

// DispatchFailed records that the connection of a dispatch was refused or
// reset.
func (p *Poller) DispatchFailed(id string) {
	p.observations.push(observedDispatchFailure{id: id, at: time.Now()})
}

// Drain stops new work at a target on an operator's command.
func (p *Poller) Drain(id string) { p.observations.push(observedDrain{id: id, at: time.Now()}) }
