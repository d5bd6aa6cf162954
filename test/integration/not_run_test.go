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
	// notRunSettle is how long refused requests may still turn up in a journal
	// after all faults were healed and held data was delivered.
	notRunDeliveryWait = 3 * time.Second
	notRunTokens       = 2_000_000
	notRunSmallTokens  = 2_000 // tokens; used up during the test
	notRunMinRefusals  = 50    // refusals without which the test would prove nothing
	notRunMinComplete  = 50
)

// Guards against a refusal as "not run" of a request that an engine accepted,
// before the refusal or later, while targets refuse, break and die, the store
// is down, replies are lost and homes are cut off.
func TestNotRunRefusalNeverRan(t *testing.T) {
	seed := harness.Seed(t)
	f := harness.Start(t, harness.Options{
		Daemons: notRunDaemons,
		Engines: notRunEngines,
		Times:   harness.Times{IdleTimeout: 1500 * time.Millisecond},
		// Few slots and a short queue make engines refuse streams themselves.
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

// checkNotRun looks every request that was refused as not run up in the
// journals and returns the number of these refusals.
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
			t.Errorf("request %s through %s was refused as not run (%s) at %v and is in a journal as stream %s",
				a.Request.Key, a.Daemon, a.Reason, a.Ended, stream)
		}
	}
	return refusals
}

// singleTraffic sends each request once, so that every refusal stands alone,
// until stop is closed.
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
