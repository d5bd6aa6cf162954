package daemon

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/route"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

const (
	retryRatio   = 0.1 // retries per request
	retryMinimum = 1.0 // retries per second
)

// picker provides the gateway with target selection and the retry budget.
type picker struct {
	poller  *target.Poller
	policy  *route.Picker
	retries *route.RetryBudget
}

func newPicker(poller *target.Poller, policy *route.Picker) *picker {
	return &picker{poller: poller, policy: policy, retries: route.NewRetryBudget(retryRatio, retryMinimum)}
}

// Pick implements gateway.Picker.
func (p *picker) Pick(req route.Request) (target.Target, *verdict.Error) {
	now := time.Now()
	if len(req.Exclude) == 0 {
		p.retries.ObserveRequest(now)
	}
	return p.policy.Pick(req, p.poller.View(), now)
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
func (p *picker) ObserveExecutionTime(service string, occupied time.Duration) {
	p.policy.ObserveExecutionTime(service, occupied)
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
