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

// Poller reads the targets' reports and feeds a Tracker, which belongs to the
// goroutine of Run. All other methods may be called from any goroutine and
// never wait for that goroutine.
type Poller struct {
	settings      PollerSettings
	tracker       *Tracker
	schedule      *schedule
	observations  *observationQueue
	publisher     *publisher
	readSlots     chan struct{} // bounds the reads in progress
	finishedReads chan string   // ids of targets whose read has ended
	activeReads   sync.WaitGroup
}

// NewPoller returns a poller without targets. It reads nothing until Run.
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

// Run reads reports until ctx ends and returns once all reads have ended.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer p.publisher.timer.Stop()
	defer p.activeReads.Wait()
	var queue []Target // due, waiting for a slot
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

// applyObservations takes all waiting observations into the tracker.
func (p *Poller) applyObservations() {
	for _, o := range p.observations.takeAll() {
		o.apply(p.tracker)
	}
	p.publisher.update(p.tracker, time.Now())
}

// startReads starts as many reads as there are slots and returns the rest.
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

// runRead reads one report and passes the outcome on.
func (p *Poller) runRead(ctx context.Context, t Target) {
	defer p.activeReads.Done()
	p.fetchAndObserve(ctx, t)
	<-p.readSlots
	select {
	case p.finishedReads <- t.ID:
	case <-ctx.Done():
	}
}

// fetchAndObserve turns the outcome of a read into an observation.
func (p *Poller) fetchAndObserve(ctx context.Context, t Target) {
	snapshot, err := p.fetchReport(ctx, t)
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		// The read was cut short by the end of Run, which says nothing of the target.
	case err == nil:
		p.observations.push(observedReport{id: t.ID, addr: t.Addr, snapshot: snapshot, at: now})
	default:
		p.observations.push(observedReportFailure{id: t.ID, addr: t.Addr, dispatchWouldFail: dispatchWouldFail(err), at: now})
	}
}

// fetchReport reads the fetchReport of t through the adapter of its kind.
func (p *Poller) fetchReport(ctx context.Context, t Target) (Snapshot, error) {
	adapter, ok := p.settings.Adapters[t.Kind]
	if !ok {
		return Snapshot{}, fmt.Errorf("no adapter for kind %q", t.Kind)
	}
	return adapter.Report(ctx, t)
}

// dispatchWouldFail reports whether a failed read shows that a dispatch would fail now.
func dispatchWouldFail(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrLoading)
}

// View returns the newest view. The caller must not change it.
func (p *Poller) View() []Status { return p.publisher.current() }

// Apply passes on a new membership list and the services of the bundle in
// force. The caller must not change them afterwards.
func (p *Poller) Apply(members []storage.Member, services map[string]ServiceInfo) {
	p.observations.push(observedMembers{members: members, services: services, at: time.Now()})
}

// Started notes a dispatch to a target.
func (p *Poller) Started(id string) {
	p.observations.push(observedDispatchStart{id: id, at: time.Now()})
}

// Ended notes the end of a dispatch that was noted with Started.
func (p *Poller) Ended(id string) { p.observations.push(observedDispatchEnd{id: id, at: time.Now()}) }

// DispatchFailed notes a refused or reset connection under a request.
func (p *Poller) DispatchFailed(id string) {
	p.observations.push(observedDispatchFailure{id: id, at: time.Now()})
}

// Drain stops new work at a target on an operator's command.
func (p *Poller) Drain(id string) { p.observations.push(observedDrain{id: id, at: time.Now()}) }
