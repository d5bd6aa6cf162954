package target

import (
	"sync/atomic"
	"time"
)

// publishIntervalPerTarget times the number of targets is the least time between
// two publications of changed loads. A publication copies about 0.2 µs per
// target, so this bounds its cost to about 0.4% of a core at any size.
const publishIntervalPerTarget = 50 * time.Microsecond

// publisher makes the view of a tracker visible to traffic. current may be
// called from any goroutine, the rest belongs to the owner of the tracker.
type publisher struct {
	view            atomic.Pointer[[]Status]
	timer           *time.Timer // fires when a postponed publication is due
	scheduled       bool        // the timer runs
	lastPublishedAt time.Time   // latest publication
}

// newPublisher returns a publisher of an empty view.
func newPublisher() *publisher {
	p := &publisher{timer: time.NewTimer(time.Hour)}
	p.timer.Stop()
	p.view.Store(&[]Status{})
	return p
}

// current returns the newest view, which nobody may change.
func (p *publisher) current() []Status { return *p.view.Load() }

// update publishes a changed state at once, since traffic must not use a
// target that leaves, and changed loads no more often than the gap allows.
func (p *publisher) update(t *Tracker, now time.Time) {
	switch t.takePendingChange() {
	case stateChanged:
		p.publish(t, now)
	case loadChanged:
		p.publishRateLimited(t, now)
	}
}

// publishRateLimited publishes once the gap since the latest publication has passed.
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

// publish stores the tracker's view.
func (p *publisher) publish(t *Tracker, now time.Time) {
	view := t.View()
	p.view.Store(&view)
	p.lastPublishedAt = now
	p.scheduled = false
	p.timer.Stop()
}
