package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/test/harness"
)

// Parameters of the spend test. A request costs up to 32 output tokens and about
// 15 prompt tokens, so the small budget is used up within seconds.
const (
	spendDaemons     = 4
	spendCallers     = 16
	spendDuration    = 20 * time.Second
	spendAfterFaults = 3 * time.Second // time with traffic after the last fault
	smallBudget      = 3_000           // tokens
	largeBudget      = 200_000         // tokens
	spendTopUpTokens = 1_500           // tokens per top-up
	spendTopUps      = 6               // number of top-ups
	spendMinComplete = 50              // complete answers; with fewer the test would prove nothing
	sendTimeout      = 8 * time.Second
	topUpTimeout     = 30 * time.Second
)

// spendFaults returns the faults that may make a daemon spend tokens that its
// budget no longer has. A pause of up to 5 s exceeds the holder TTL of 3 s.
func spendFaults() planSettings {
	return planSettings{
		kinds: []faultKind{
			killDaemon, restartDaemon, pauseDaemon, pauseDaemon, cutPeer, cutPeer,
			cutPlatform, holdPlatformReplies, tableOutage, loseTableReplies, slowTable,
		},
		daemons:      spendDaemons,
		targets:      2,
		duration:     spendDuration,
		meanInterval: 700 * time.Millisecond,
		minDuration:  300 * time.Millisecond,
		maxDuration:  5 * time.Second,
	}
}

// Guards against a customer that spends more tokens than its top-ups. Meanwhile
// daemons are killed, paused beyond their lease, cut off or lose replies, and a
// budget is topped up.
func TestSpendNeverExceedsBudget(t *testing.T) {
	seed := harness.Seed(t)
	f := harness.Start(t, harness.Options{
		Daemons:    spendDaemons,
		EngineArgs: []string{"--token-ms", "3"},
		Customers: []harness.Customer{
			{ID: "regie", Budget: "regie-main", Tokens: smallBudget, CoverSeconds: 2, MinTokens: 200, MaxShare: 0.3},
			{ID: "lanester", Budget: "lanester-main", Tokens: largeBudget, CoverSeconds: 5, MinTokens: 2000, MaxShare: 0.5},
		},
	})
	log := newTrafficLog()
	oracle := newSpendOracle(t, f, log, map[string]int64{"regie": smallBudget, "lanester": largeBudget})
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { oracle.checkPeriodically(stop) })
	for i := range spendCallers {
		r := harness.Rand(seed, uint64(i)+1)
		background.Go(func() { spendTraffic(f, log, r, i, stop) })
	}
	background.Go(func() { topUpAtRandomTimes(t, f, oracle, harness.Rand(seed, 1000)) })
	faultInjector{t: t, fleet: f, targets: f.Engines}.run(planFaults(harness.Rand(seed, 0), spendFaults()))
	time.Sleep(spendAfterFaults)
	close(stop)
	background.Wait()
	assert.NilError(t, oracle.check())
	t.Logf("%v, answers: %v", oracle, log.countOutcomes())
	assert.Assert(t, log.countOutcomes()["complete"] >= spendMinComplete)
}

// spendTraffic sends requests of both customers until stop is closed.
func spendTraffic(f *harness.Fleet, log *trafficLog, r *rand.Rand, worker int, stop <-chan struct{}) {
	caller := f.NewCaller()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		request := harness.Request{
			Customer:  []string{"regie", "lanester"}[r.IntN(2)],
			Key:       fmt.Sprintf("spend-%d-%d", worker, n),
			Prompt:    fmt.Sprintf("menu plan %d of caller %d", n, worker),
			MaxTokens: int64(8 + r.IntN(25)),
		}
		log.recordRequest(request)
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		log.recordAnswer(caller.Send(ctx, f.Daemons[r.IntN(len(f.Daemons))], request))
		cancel()
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
	}
}

// topUpAtRandomTimes tops up the small budget at random times. Each call is repeated
// through the next daemon until one confirms it.
func topUpAtRandomTimes(t *testing.T, f *harness.Fleet, o *spendOracle, r *rand.Rand) {
	for n := range spendTopUps {
		time.Sleep(time.Duration(r.Int64N(int64(spendDuration / spendTopUps))))
		o.topUp("regie", spendTopUpTokens)
		ctx, cancel := context.WithTimeout(context.Background(), topUpTimeout)
		err := f.Operators[0].TopUp(ctx, f.Daemons, "regie-main", admin.TopUp{ID: fmt.Sprintf("top-up-%d", n), Tokens: spendTopUpTokens})
		cancel()
		if err != nil {
			t.Error(err)
		}
	}
}
