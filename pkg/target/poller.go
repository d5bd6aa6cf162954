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
	settings PollerSettings
	tracker  *Tracker
	schedule *schedule
	mailbox  *mailbox
	views    *publisher
	slots    chan struct{} // bounds the reads in progress
	finished chan string   // ids of targets whose read has ended
	readers  sync.WaitGroup
}

// NewPoller returns a poller without targets. It reads nothing until Run.
func NewPoller(settings PollerSettings) *Poller {
	settings = settings.withDefaults()
	p := &Poller{
		settings: settings,
		tracker:  NewTracker(settings.Limits),
		schedule: newSchedule(settings.Interval, settings.MaxReportRate),
		mailbox:  newMailbox(),
		views:    newPublisher(),
		slots:    make(chan struct{}, settings.Concurrency),
		finished: make(chan string, settings.Concurrency),
	}
	return p
}

// Run reads reports until ctx ends and returns once all reads have ended.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer p.views.timer.Stop()
	defer p.readers.Wait()
	var queue []Target // due, waiting for a slot
	for {
		queue = p.startReads(ctx, queue)
		select {
		case <-ctx.Done():
			return
		case <-p.mailbox.wake:
			p.absorb()
		case <-p.views.timer.C:
			p.views.publish(p.tracker, time.Now())
		case id := <-p.finished:
			p.schedule.done(id)
		case now := <-ticker.C:
			p.tracker.Tick(now)
			p.views.update(p.tracker, now)
			queue = append(queue, p.schedule.due(p.View(), now)...)
		}
	}
}

// absorb takes all waiting observations into the tracker.
func (p *Poller) absorb() {
	for _, o := range p.mailbox.take() {
		o.apply(p.tracker)
	}
	p.views.update(p.tracker, time.Now())
}

// startReads starts as many reads as there are slots and returns the rest.
func (p *Poller) startReads(ctx context.Context, queue []Target) []Target {
	for len(queue) > 0 {
		select {
		case p.slots <- struct{}{}:
			p.readers.Add(1)
			go p.read(ctx, queue[0])
			queue = queue[1:]
		default:
			return queue
		}
	}
	return nil
}

// read reads one report and passes the outcome on.
func (p *Poller) read(ctx context.Context, t Target) {
	defer p.readers.Done()
	p.observe(ctx, t)
	<-p.slots
	select {
	case p.finished <- t.ID:
	case <-ctx.Done():
	}
}

// observe turns the outcome of a read into an observation.
func (p *Poller) observe(ctx context.Context, t Target) {
	snapshot, err := p.report(ctx, t)
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		// The read was cut short by the end of Run, which says nothing of the target.
	case err == nil:
		p.mailbox.put(observedReport{id: t.ID, addr: t.Addr, snapshot: snapshot, at: now})
	default:
		p.mailbox.put(observedReportFailure{id: t.ID, addr: t.Addr, refused: refuses(err), at: now})
	}
}

// report reads the report of t through the adapter of its kind.
func (p *Poller) report(ctx context.Context, t Target) (Snapshot, error) {
	adapter, ok := p.settings.Adapters[t.Kind]
	if !ok {
		return Snapshot{}, fmt.Errorf("no adapter for kind %q", t.Kind)
	}
	return adapter.Report(ctx, t)
}

// refuses reports whether a failed read shows that a dispatch would fail now.
func refuses(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrLoading)
}

// View returns the newest view. The caller must not change it.
func (p *Poller) View() []Status { return p.views.current() }

// Apply passes on a new membership list and the services of the bundle in
// force. The caller must not change them afterwards.
func (p *Poller) Apply(members []storage.Member, services map[string]ServiceInfo) {
	p.mailbox.put(observedList{members: members, services: services, at: time.Now()})
}

// Started notes a dispatch to a target.
func (p *Poller) Started(id string) { p.mailbox.put(observedStart{id: id, at: time.Now()}) }

// Ended notes the end of a dispatch that was noted with Started.
func (p *Poller) Ended(id string) { p.mailbox.put(observedEnd{id: id, at: time.Now()}) }

// DispatchFailed notes a refused or reset connection under a request.
func (p *Poller) DispatchFailed(id string) {
	p.mailbox.put(observedDispatchFailure{id: id, at: time.Now()})
}

// Drain stops new work at a target on an operator's command.
func (p *Poller) Drain(id string) { p.mailbox.put(observedDrain{id: id, at: time.Now()}) }
