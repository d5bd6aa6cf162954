package daemon

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/route"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

const (
	retryRatio   = 0.1 // allowed retries per request
	minRetryRate = 1.0 // retries per second that are allowed even with few requests
)

// picker provides the gateway with target selection and the retry budget.
type picker struct {
	poller   *target.Poller
	selector *route.Picker
	retries  *route.RetryBudget
}

func newPicker(poller *target.Poller, selector *route.Picker) *picker {
	return &picker{poller: poller, selector: selector, retries: route.NewRetryBudget(retryRatio, minRetryRate)}
}

// Pick implements gateway.Picker.
func (p *picker) Pick(req route.Request) (target.Target, *verdict.Error) {
	now := time.Now()
	if len(req.Exclude) == 0 { // a pick that excludes targets belongs to a request that was counted before
		p.retries.ObserveRequest(now)
	}
	return p.selector.Pick(req, p.poller.View(), now)
}

// DispatchStarted implements gateway.Picker.
func (p *picker) DispatchStarted(id string) { p.poller.DispatchStarted(id) }

// DispatchEnded implements gateway.Picker.
func (p *picker) DispatchEnded(id string, failed bool) {
	p.poller.DispatchEnded(id)
	if failed {
		p.poller.DispatchFailed(id)
	}
}

// ObserveExecutionTime implements gateway.Picker.
func (p *picker) ObserveExecutionTime(service string, duration time.Duration) {
	p.selector.ObserveExecutionTime(service, duration)
}

// Target implements gateway.Targets.
func (p *picker) Target(id string) (target.Target, bool) {
	for _, s := range p.poller.View() {
		if s.Target.ID == id {
			return s.Target, true
		}
	}
	return target.Target{}, false
}

// Allow implements gateway.RetryBudget.
func (p *picker) Allow() bool {
	return p.retries.Allow(time.Now())
}
