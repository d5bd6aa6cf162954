package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/verdict"
	"github.com/peppertrail/peppertrail/test/harness"
)

const (
	notRunDaemons  = 3
	notRunEngines  = 3
	notRunCallers  = 24
	notRunDuration = 18 * time.Second
	// notRunDeliveryWait is the wait after the last fault, in which data that was held
	// back may still deliver a refused request to an engine.
	notRunDeliveryWait = 3 * time.Second
	notRunTokens       = 2_000_000 // tokens of the large budget
	notRunSmallTokens  = 2_000     // tokens of the small budget, which is used up during the test
	notRunMinRefusals  = 50        // refusals as "not run"; with fewer the test would prove nothing
	notRunMinComplete  = 50        // complete answers; with fewer the test would prove nothing
)

// Guards against a refusal with the verdict "not run" for a request that an engine
// accepted before or after the refusal. Meanwhile targets refuse connections, reset
// them and die, the table is down, replies are lost and homes are cut off.
func TestNotRunRefusalNeverRan(t *testing.T) {
	seed := harness.Seed(t)
	f := harness.Start(t, harness.Options{
		Daemons: notRunDaemons,
		Engines: notRunEngines,
		Times:   harness.Times{IdleTimeout: 1500 * time.Millisecond},
		// With few slots and a short queue, the engines themselves refuse streams too.
		EngineArgs: []string{"--token-ms", "5", "--slots", "3", "--max-queue", "1"},
		Customers: []harness.Customer{
			{ID: "regie", Budget: "regie-main", Tokens: notRunTokens, CoverSeconds: 2, MinTokens: 1000, MaxShare: 0.1},
			{ID: "lanester", Budget: "lanester-main", Tokens: notRunSmallTokens, CoverSeconds: 2, MinTokens: 200, MaxShare: 0.3},
		},
	})
	log := newTrafficLog()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range notRunCallers {
		r := harness.Rand(seed, uint64(i)+1)
		callers.Go(func() { singleTraffic(f, log, r, i, stop) })
	}
	plan := planFaults(harness.Rand(seed, 0), planSettings{
		kinds: []faultKind{
			refuseTarget, resetTarget, resetOnTargetReply, dropTargetReplies, halfOpenTarget, cutTarget, delayTarget, killTarget,
			tableOutage, loseTableReplies, slowTable, cutPeer, cutPeer, cutPlatform, holdPlatformReplies, pauseDaemon, restartDaemon,
		},
		daemons: notRunDaemons, targets: notRunEngines, duration: notRunDuration,
		meanInterval: 400 * time.Millisecond, minDuration: 200 * time.Millisecond, maxDuration: 3 * time.Second,
	})
	faultInjector{t: t, fleet: f, targets: f.Engines}.run(plan)
	close(stop)
	callers.Wait()
	time.Sleep(notRunDeliveryWait)
	t.Logf("answers: %v", log.countOutcomes())
	refusals := checkNotRun(t, f, log)
	assert.Assert(t, refusals >= notRunMinRefusals)
	assert.Assert(t, log.countOutcomes()["complete"] >= notRunMinComplete)
}

// checkNotRun checks that no request that was refused as not run is in a journal. It
// returns the number of these refusals.
func checkNotRun(t *testing.T, f *harness.Fleet, log *trafficLog) int {
	t.Helper()
	records, err := f.EngineRecords()
	assert.NilError(t, err)
	accepted := make(map[string]string, len(records))
	for _, r := range records {
		accepted[r.Digest] = r.Stream
	}
	refusals := 0
	for _, a := range log.allAnswers() {
		if a.Verdict != verdict.NotRun {
			continue
		}
		refusals++
		if stream, ran := accepted[a.Request.Digest()]; ran {
			t.Errorf("request %s through %s was refused as not run (%s) at %v, but is in a journal as stream %s",
				a.Request.Key, a.Daemon, a.Reason, a.Ended, stream)
		}
	}
	return refusals
}

// singleTraffic sends requests until stop is closed. Each is sent only once, so that
// no other attempt can explain why a refused request is in a journal.
func singleTraffic(f *harness.Fleet, log *trafficLog, r *rand.Rand, worker int, stop <-chan struct{}) {
	caller := f.NewCaller()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		request := harness.Request{
			Customer:      []string{"regie", "regie", "regie", "lanester"}[r.IntN(4)],
			Key:           fmt.Sprintf("single-%d-%d", worker, n),
			Prompt:        fmt.Sprintf("payment run %d of caller %d", n, worker),
			MaxTokens:     int64(8 + r.IntN(25)),
			NonIdempotent: r.IntN(3) == 0,
			NonStreaming:  r.IntN(4) == 0,
		}
		if r.IntN(5) == 0 {
			request.Deadline = time.Duration(20+r.IntN(400)) * time.Millisecond
		}
		log.recordRequest(request)
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		log.recordAnswer(caller.Send(ctx, f.Daemons[r.IntN(len(f.Daemons))], request))
		cancel()
		time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
	}
}
