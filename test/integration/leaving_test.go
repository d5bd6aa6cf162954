package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/test/harness"
)

// Parameters of the test of leaving targets. A stream lasts 0.4 s to 1.3 s.
const (
	leavingDaemons       = 3
	leavingEngines       = 8
	leavingCallers       = 24
	leavingWarmUp        = 3 * time.Second
	leavingMargin        = time.Second // observation time after the limit
	leavingSendTimeout   = 15 * time.Second
	leavingMinDispatches = 5 // dispatches to a target before its trigger; with fewer the test would prove nothing
	leavingCustomer      = "regie"
)

// Guards against a target that gets new work after it began to leave, against streams
// that are interrupted on it, and against incomplete answers to callers. Each leaving
// target has a different trigger.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	seed := harness.Seed(t)
	f := harness.Start(t, harness.Options{
		Daemons:    leavingDaemons,
		Engines:    leavingEngines,
		EngineArgs: []string{"--token-ms", "20"},
		// The grants are large enough for the platform outage.
		Customers: []harness.Customer{{ID: leavingCustomer, Budget: "regie-main", Tokens: 20_000_000, CoverSeconds: 60, MinTokens: 500_000, MaxShare: 0.2}},
	})
	r := harness.Rand(seed, 0)
	leaving := planLeaving(t, f, r)
	f.AwaitReady()
	log := newTrafficLog()
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for i := range leavingCallers {
		traffic.Go(func() { leavingTraffic(f, log, harness.Rand(seed, uint64(i)+1), i, stop) })
	}
	time.Sleep(leavingWarmUp)
	for _, l := range leaving {
		time.Sleep(time.Duration(r.Int64N(int64(leavingMargin))))
		l.fireTrigger(t, f)
		time.Sleep(l.trigger.limit() + leavingMargin)
		l.endOutage(t, f)
	}
	close(stop)
	traffic.Wait()
	dispatches, err := f.Dispatches()
	assert.NilError(t, err)
	checkLeaving(t, leavingOracle{targets: leaving, dispatches: dispatches, answers: log.allAnswers()})
	t.Logf("answers: %v", log.countOutcomes())
}

// planLeaving draws a target for each trigger and the order of the triggers.
func planLeaving(t *testing.T, f *harness.Fleet, r *rand.Rand) []*leavingTarget {
	t.Helper()
	triggers := []leavingTrigger{triggerMembership, triggerReport, triggerReportOutage, triggerDrainOrder, triggerKill}
	r.Shuffle(len(triggers), func(i, j int) { triggers[i], triggers[j] = triggers[j], triggers[i] })
	targets := r.Perm(len(f.Engines))
	leaving := make([]*leavingTarget, len(triggers))
	for i, trigger := range triggers {
		target := f.Engines[targets[i]]
		leaving[i] = &leavingTarget{trigger: trigger, target: target, recorder: newDispatchRecorder(t, target)}
	}
	return leaving
}

// leavingTraffic sends streams through all daemons until stop is closed.
func leavingTraffic(f *harness.Fleet, log *trafficLog, r *rand.Rand, number int, stop <-chan struct{}) {
	caller := f.NewCaller()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		request := harness.Request{
			Customer:  leavingCustomer,
			Key:       fmt.Sprintf("leaving-%d-%d", number, n),
			Prompt:    fmt.Sprintf("%d ration of caller %d, %x", n, number, r.Uint64()),
			MaxTokens: int64(20 + r.IntN(45)),
		}
		ctx, cancel := context.WithTimeout(context.Background(), leavingSendTimeout)
		log.recordAnswer(caller.Send(ctx, f.Daemons[r.IntN(len(f.Daemons))], request))
		cancel()
	}
}

// checkLeaving checks every leaving target and every answer.
func checkLeaving(t *testing.T, o leavingOracle) {
	t.Helper()
	for _, l := range o.targets {
		t.Logf("%s: %s, %d streams open at the trigger, last dispatch %v after it", l.target.ID, l.trigger, o.openStreams(l), o.lastDispatchDelay(l).Round(time.Millisecond))
		before := 0
		for _, at := range l.recorder.dispatchTimes() {
			if at.Before(l.triggeredAt) {
				before++
			}
		}
		assert.Assert(t, before >= leavingMinDispatches, "%s got only %d dispatches before its trigger", l.target.ID, before)
		for _, err := range o.checkTarget(l) {
			t.Error(err)
		}
	}
	for _, a := range o.answers {
		if err := o.checkAnswer(a); err != nil {
			t.Error(err)
		}
	}
}
