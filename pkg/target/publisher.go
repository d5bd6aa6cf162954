package target

import (
	"sync/atomic"
	"time"
)

// publishIntervalPerTarget is multiplied by the number of targets to give the
// shortest time between two publications of changed loads. The copy of the view
// takes about 0.2 µs per target, so publications take at most about 0.4% of a
// core for any number of targets.
const publishIntervalPerTarget = 50 * time.Microsecond

// publisher makes the view of a tracker available to other goroutines. current
// may be called from any goroutine, all other methods only by the goroutine
// that owns the tracker.
type publisher struct {
	view            atomic.Pointer[[]Status]
	timer           *time.Timer // fires when a delayed publication is due
	scheduled       bool        // the timer is running
	lastPublishedAt time.Time   // time of the latest publication
}

// newPublisher returns a publisher of an empty view.
func newPublisher() *publisher {
	p := &publisher{timer: time.NewTimer(time.Hour)}
	p.timer.Stop()
	p.view.Store(&[]Status{})
	return p
}

// current returns the latest published view. The caller must not change it.
func (p *publisher) current() []Status { return *p.view.Load() }

// update publishes a changed state at once, since requests must not go to a
// target that is leaving. It publishes changed loads at a limited rate.
func (p *publisher) update(t *Tracker, now time.Time) {
	switch t.takePendingChange() {
	case stateChanged:
		p.publish(t, now)
	case loadChanged:
		p.publishRateLimited(t, now)
	}
}

// publishRateLimited publishes the view, or schedules the publication if the
// shortest interval since the latest one has not passed.
func (p *publisher) publishRateLimited(t *Tracker, now time.Time) {
	if p.scheduled {
		return
	}
	remaining := p.lastPublishedAt.Add(time.Duration(len(t.sortedIDs)) * publishIntervalPerTarget).Sub(now)
	if remaining <= 0 {
		p.publish(t, now)
		return
	}
	p.scheduled = true
	p.timer.Reset(remaining)
}

// publish makes the current view of the tracker available and cancels a
// scheduled publication.
func (p *publisher) publish(t *Tracker, now time.Time) {
	view := t.View()
	p.view.Store(&view)
	p.lastPublishedAt = now
	p.scheduled = false
	p.timer.Stop()
}
