package integration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/peppertrail/peppertrail/test/harness"
)

const (
	// retryPause is the longest pause between two send attempts of a request.
	retryPause = 300 * time.Millisecond
	// abandonShare is the share of send attempts whose caller disconnects early.
	abandonShare = 0.1
	// abandonAfter is the time after which a caller that disconnects early does so. An answer takes
	// about 150 ms.
	abandonAfter = 60 * time.Millisecond
)

// persistentCaller sends each request under the same key, each time through a
// random daemon, until it has the complete answer.
type persistentCaller struct {
	fleet   *harness.Fleet
	log     *trafficLog
	caller  *harness.Caller
	random  *rand.Rand
	timeout time.Duration // time limit of one send attempt
}

// complete repeats a request until it has a complete answer or ctx ends. It returns
// the last answer and whether that is complete.
func (p persistentCaller) complete(ctx context.Context, r harness.Request) (harness.Answer, bool) {
	p.log.recordRequest(r)
	for {
		a := p.send(ctx, r)
		p.log.recordAnswer(a)
		if a.Complete || ctx.Err() != nil {
			return a, a.Complete
		}
		time.Sleep(time.Duration(p.random.Int64N(int64(retryPause))))
	}
}

// send sends a request once. In a share of the attempts the caller disconnects
// before the answer is complete.
func (p persistentCaller) send(ctx context.Context, r harness.Request) harness.Answer {
	timeout := p.timeout
	if p.random.Float64() < abandonShare {
		timeout = abandonAfter
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.caller.Send(ctx, p.fleet.Daemons[p.random.IntN(len(p.fleet.Daemons))], r)
}
