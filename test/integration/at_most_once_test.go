package integration

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/test/harness"
)

// Parameters of the test of non-idempotent requests.
const (
	onceDaemons      = 4
	onceTargets      = 3 // number of engines, and also of services
	onceCallers      = 16
	onceDuration     = 18 * time.Second
	onceSetupTimeout = 30 * time.Second // time limit for the second bundle
	onceMinComplete  = 100              // complete answers; with fewer the test would prove nothing
	onceProbes       = 8                // new items after the faults, which must be answered
)

// onceFaults returns the faults that may cause a request to run a second time. A
// pause of up to 5 s exceeds the holder TTL of 3 s.
func onceFaults() planSettings {
	return planSettings{
		kinds: []faultKind{
			killDaemon, restartDaemon, pauseDaemon, cutPeer, cutPlatform, holdPlatformReplies, loseTableReplies, slowTable,
			tableOutage, refuseTarget, resetTarget, dropTargetReplies, resetOnTargetReply, halfOpenTarget, killTarget, killTarget,
		},
		daemons:      onceDaemons,
		targets:      2 * onceTargets,
		duration:     onceDuration,
		meanInterval: 500 * time.Millisecond,
		minDuration:  300 * time.Millisecond,
		maxDuration:  5 * time.Second,
	}
}

// Guards against a non-idempotent request that runs twice, and against an answer or
// a refusal that contradicts the journals. Callers repeat their requests through
// other daemons during faults of daemons, table and targets.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	seed := harness.Seed(t)
	f := startOnceFleet(t)
	callers := make([]*onceCaller, onceCallers)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for i := range callers {
		callers[i] = &onceCaller{fleet: f, caller: f.NewCaller(), rand: harness.Rand(seed, uint64(i)+1), number: i}
		traffic.Go(func() { callers[i].run(stop) })
	}
	faultInjector{t: t, fleet: f, targets: slices.Concat(f.Engines, f.Services)}.run(planFaults(harness.Rand(seed, 0), onceFaults()))
	close(stop)
	traffic.Wait()
	probes := retryAllInconclusive(callers)
	dispatches, err := f.Dispatches()
	assert.NilError(t, err)
	oracle := newOnceOracle(onceItems(callers), dispatches)
	t.Logf("items by outcome: %v", oracle.countOutcomes())
	for _, err := range oracle.check() {
		t.Error(err)
	}
	assert.Assert(t, oracle.countOutcomes()["complete"] >= onceMinComplete)
	for _, p := range probes {
		assert.Equal(t, finalOutcome(p), "complete", "an item sent after the faults: %+v", p.history())
	}
}

// startOnceFleet starts a fleet whose second bundle marks a path as non-idempotent.
func startOnceFleet(t *testing.T) *harness.Fleet {
	t.Helper()
	f := harness.Start(t, harness.Options{
		Daemons:    onceDaemons,
		Engines:    onceTargets,
		Services:   onceTargets,
		CallCost:   5,
		EngineArgs: []string{"--token-ms", "3"},
		Customers:  []harness.Customer{{ID: "office", Budget: "office-main", Tokens: 5_000_000, CoverSeconds: 5, MinTokens: 5_000, MaxShare: 0.05}},
	})
	ctx, cancel := context.WithTimeout(context.Background(), onceSetupTimeout)
	defer cancel()
	next := f.Bundle
	next.Base = 1
	next.Services = slices.Clone(f.Bundle.Services)
	for i := range next.Services {
		if next.Services[i].Name == harness.PlainService {
			next.Services[i].NonIdempotent = []string{oncePath}
		}
	}
	f.AcceptBundle(ctx, next)
	for _, d := range f.Daemons {
		harness.Eventually(t, onceSetupTimeout, d.Name+" has the second bundle", func() bool {
			status, err := f.Operators[0].Client(d).Status(ctx)
			return err == nil && status.HeldVersion >= 2
		})
	}
	return f
}

// retryAllInconclusive makes every caller repeat its inconclusive items. The first
// onceProbes callers then send a new item, which is returned.
func retryAllInconclusive(callers []*onceCaller) []*onceItem {
	probes := make([]*onceItem, min(onceProbes, len(callers)))
	var all sync.WaitGroup
	for i, c := range callers {
		all.Go(func() {
			for _, item := range c.items {
				c.retryInconclusive(item)
			}
			if i < len(probes) {
				probes[i] = c.newItem(len(c.items))
				c.items = append(c.items, probes[i])
				c.sendUntilConclusive(probes[i])
			}
		})
	}
	all.Wait()
	return probes
}

// onceItems returns the items of all callers.
func onceItems(callers []*onceCaller) []*onceItem {
	var all []*onceItem
	for _, c := range callers {
		all = append(all, c.items...)
	}
	return all
}
