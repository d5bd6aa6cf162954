package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/test/harness"
)

// spendInterval is the time between two comparisons of spend and top-ups.
const spendInterval = 200 * time.Millisecond

// spendOracle compares what the engines ran per customer with the top-ups. It
// is safe for concurrent use.
type spendOracle struct {
	t     *testing.T
	fleet *harness.Fleet
	log   *trafficLog

	mu       sync.Mutex
	topUps   map[string]int64 // tokens by customer, counted before the call is sent
	consumed map[string]int64 // tokens that ran
}

func newSpendOracle(t *testing.T, f *harness.Fleet, log *trafficLog, initial map[string]int64) *spendOracle {
	return &spendOracle{t: t, fleet: f, log: log, topUps: initial, consumed: make(map[string]int64)}
}

// topUp records a top-up before it is sent, since it may take effect at any
// time from then on.
func (o *spendOracle) topUp(customer string, tokens int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.topUps[customer] += tokens
}

// watch compares until stop is closed.
func (o *spendOracle) checkPeriodically(stop <-chan struct{}) {
	for {
		if err := o.check(); err != nil {
			o.t.Error(err)
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(spendInterval):
		}
	}
}

// compare reads the journals first, so that tokens which a later top-up pays
// for are not held against the earlier sum.
func (o *spendOracle) check() error {
	records, err := o.fleet.EngineRecords()
	if err != nil {
		return err
	}
	ran := make(map[string]int64)
	for _, r := range records {
		request, ok := o.log.requestByDigest(r.Digest)
		if !ok {
			return fmt.Errorf("stream %s ran a prompt that no caller sent", r.Stream)
		}
		ran[request.Customer] += harness.ConsumedTokens(r)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.consumed = ran
	for customer, tokens := range ran {
		if tokens > o.topUps[customer] {
			return fmt.Errorf("customer %s: engines ran %d tokens, top-ups are %d", customer, tokens, o.topUps[customer])
		}
	}
	return nil
}

// String returns spend and top-ups per customer.
func (o *spendOracle) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("ran %v of top-ups %v", o.consumed, o.topUps)
}
