package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/test/harness"
)

// spendInterval is the pause between two comparisons of spend and top-ups.
const spendInterval = 200 * time.Millisecond

// spendOracle compares the tokens that the engines ran for each customer with the
// top-ups. It is safe for concurrent use.
type spendOracle struct {
	t     *testing.T
	fleet *harness.Fleet
	log   *trafficLog

	mu       sync.Mutex
	topUps   map[string]int64 // tokens by customer; counted before the top-up is sent
	consumed map[string]int64 // tokens by customer that the engines ran, at the last check
}

func newSpendOracle(t *testing.T, f *harness.Fleet, log *trafficLog, initial map[string]int64) *spendOracle {
	return &spendOracle{t: t, fleet: f, log: log, topUps: initial, consumed: make(map[string]int64)}
}

// topUp records a top-up. Call it before the top-up is sent, since it may take
// effect at any time from then on.
func (o *spendOracle) topUp(customer string, tokens int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.topUps[customer] += tokens
}

// checkPeriodically calls check every spendInterval until stop is closed or a check
// fails.
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

// check returns an error if a customer spent more than its top-ups. It reads the
// journals before the top-ups: in the other order, tokens paid by a top-up between
// the two reads would count as overspent.
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

// String returns the spend and the top-ups of each customer.
func (o *spendOracle) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("tokens that engines ran: %v, tokens of top-ups: %v", o.consumed, o.topUps)
}
