package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/test/harness"
)

// gracefulSendTimeout is much longer than a stream.
const gracefulSendTimeout = 20 * time.Second

// gracefulTraffic sends streams through every daemon that is in rotation.
type gracefulTraffic struct {
	fleet         *harness.Fleet
	log           *trafficLog
	outOfRotation []atomic.Bool // by daemon; true: its process has exited or is not ready yet
}

// runCaller sends one stream after another until stop is closed.
func (g *gracefulTraffic) runCaller(r *rand.Rand, number int, stop <-chan struct{}) {
	caller := g.fleet.NewCaller()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		at := r.IntN(len(g.fleet.Daemons))
		if g.outOfRotation[at].Load() {
			time.Sleep(gracefulPause)
			continue
		}
		request := harness.Request{
			Customer:  gracefulCustomer((number + n) % gracefulCustomers),
			Key:       fmt.Sprintf("graceful-%d-%d", number, n),
			Prompt:    fmt.Sprintf("allergy check %d of caller %d", n, number),
			MaxTokens: int64(20 + r.IntN(45)),
		}
		ctx, cancel := context.WithTimeout(context.Background(), gracefulSendTimeout)
		a := caller.Send(ctx, g.fleet.Daemons[at], request)
		cancel()
		g.log.recordAnswer(a)
		if !a.Complete {
			time.Sleep(gracefulPause)
		}
	}
}
