package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/test/harness"
)

const (
	billingDaemons  = 4
	billingCallers  = 12
	billingDuration = 9 * time.Second
	// billingFinishTimeout bounds how long callers continue their last request after
	// the faults.
	billingFinishTimeout = 8 * time.Second
	billingTokens        = 2_000_000 // tokens of each budget
	billingMinComplete   = 40        // complete answers; with fewer the test would prove nothing
	// billingGrantCloseTimeout bounds the wait until the grants of dead holders are
	// closed. It covers the TTL of these holders, the TTL of the repair role and one
	// pass of the repairer.
	billingGrantCloseTimeout = 15 * time.Second
	// billingDrain is less than billingStopTimeout, so that a daemon that cannot stop logs
	// the cause before the test fails.
	billingDrain = 22 * time.Second
	// billingStopTimeout bounds a graceful stop without open requests.
	billingStopTimeout = 24 * time.Second
)

// billingCase is one combination of settle wait and faults.
type billingCase struct {
	name       string
	settleWait time.Duration
	faults     []faultKind
}

// billingCases are chosen so that every answer must have a bill line. If a daemon
// dies before its bill line is confirmed, the request is covered by the written-off
// part of its grant instead. A line for each answer can therefore be required only
// if the answer waits for the line (first case) or no daemon dies (second case).
var billingCases = []billingCase{
	{
		name:       "daemons die and answers wait for their line",
		settleWait: 10 * time.Second,
		faults:     []faultKind{killDaemon, restartDaemon, killDaemon, tableOutage, loseTableReplies},
	},
	{
		name:       "lines follow answers and daemons are paused and cut off",
		settleWait: 100 * time.Millisecond,
		faults:     []faultKind{pauseDaemon, cutPeer, cutPlatform, holdPlatformReplies, tableOutage, loseTableReplies, slowTable},
	},
}

// Guards against answers without a bill line, with two bill lines or with a wrong
// amount, against bill lines of requests that never ran, and against budgets that
// do not balance.
func TestRequestBilledExactlyOnce(t *testing.T) {
	seed := harness.Seed(t)
	for _, c := range billingCases {
		t.Run(c.name, func(t *testing.T) { testBilling(t, seed, c) })
	}
}

func testBilling(t *testing.T, seed uint64, c billingCase) {
	f := harness.Start(t, harness.Options{
		Daemons:    billingDaemons,
		EngineArgs: []string{"--token-ms", "4"},
		Times:      harness.Times{Drain: billingDrain},
		DaemonArgs: []string{"--settle-wait", c.settleWait.String()},
		Customers: []harness.Customer{
			{ID: "regie", Budget: "regie-main", Tokens: billingTokens, CoverSeconds: 2, MinTokens: 2000, MaxShare: 0.1},
			{ID: "lanester", Budget: "lanester-main", Tokens: billingTokens, CoverSeconds: 2, MinTokens: 2000, MaxShare: 0.1},
		},
	})
	log := newTrafficLog()
	stop := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for i := range billingCallers {
		p := persistentCaller{fleet: f, log: log, caller: f.NewCaller(), random: harness.Rand(seed, uint64(i)+1), timeout: sendTimeout}
		callers.Go(func() { p.sendUntilStopped(ctx, t, i, stop) })
	}
	plan := planFaults(harness.Rand(seed, 0), planSettings{
		kinds: c.faults, daemons: billingDaemons, targets: 2, duration: billingDuration,
		meanInterval: 600 * time.Millisecond, minDuration: 300 * time.Millisecond, maxDuration: 4 * time.Second,
	})
	faultInjector{t: t, fleet: f, targets: f.Engines}.run(plan)
	close(stop)
	time.AfterFunc(billingFinishTimeout, cancel)
	callers.Wait()
	t.Logf("answers: %v", log.countOutcomes())
	l := closeGrants(t, f)
	records, err := f.EngineRecords()
	assert.NilError(t, err)
	assert.NilError(t, l.checkClosed())
	for _, record := range l.budgets {
		assert.NilError(t, l.checkBalance(record))
	}
	assert.NilError(t, checkBills(l, log.allAnswers(), log, records))
	assert.Assert(t, log.countOutcomes()["complete"] >= billingMinComplete)
}

// sendUntilStopped completes one request after another until stop is closed.
func (p persistentCaller) sendUntilStopped(ctx context.Context, t *testing.T, worker int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		a, ok := p.complete(ctx, harness.Request{
			Customer:     []string{"regie", "lanester"}[p.random.IntN(2)],
			Key:          fmt.Sprintf("bill-%d-%d", worker, n),
			Prompt:       fmt.Sprintf("ration list %d of caller %d", n, worker),
			MaxTokens:    int64(8 + p.random.IntN(25)),
			NonStreaming: p.random.IntN(4) == 0,
		})
		if !ok {
			t.Logf("request %s was not answered: %s %s %v", a.Request.Key, a.Verdict, a.Reason, a.Err)
		}
	}
}

// closeGrants stops every daemon gracefully and returns the final ledger. Before it
// stops the last daemon, which repairs after the others have exited, it waits until
// the grants of dead holders are closed.
func closeGrants(t *testing.T, f *harness.Fleet) ledger {
	t.Helper()
	last := f.Daemons[len(f.Daemons)-1]
	for _, d := range f.Daemons[:len(f.Daemons)-1] {
		d.Terminate()
	}
	for _, d := range f.Daemons[:len(f.Daemons)-1] {
		assert.NilError(t, d.WaitExit(billingStopTimeout), d.Name)
	}
	harness.Eventually(t, billingGrantCloseTimeout, "grants of dead holders are closed", func() bool {
		l, err := readLedger(f.Platform.Table())
		return err == nil && len(l.openGrantsOfOtherHolders(last.Name)) == 0 && len(l.unfencedOnOtherHosts(last.Name)) == 0
	})
	last.Terminate()
	assert.NilError(t, last.WaitExit(billingStopTimeout), last.Name)
	l, err := readLedger(f.Platform.Table())
	assert.NilError(t, err)
	return l
}
