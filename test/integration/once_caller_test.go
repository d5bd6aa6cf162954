package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/test/harness"
)

const (
	// onceSendTimeout is shorter than most pauses and cuts, so that callers give up
	// on a daemon that is still working on their request and use another one.
	onceSendTimeout = 1500 * time.Millisecond
	// onceMaxAttempts bounds the send attempts of one item.
	onceMaxAttempts = 5
	// onceConcurrentShare is the share of items that are sent through two daemons at
	// the same time.
	onceConcurrentShare = 0.3
	// onceFinalTimeout bounds a send attempt after the faults.
	onceFinalTimeout = 10 * time.Second
	// oncePath is the path whose calls the bundle marks as non-idempotent.
	oncePath = "/orders"
)

// onceCaller sends non-idempotent items and retries them through other daemons.
type onceCaller struct {
	fleet  *harness.Fleet
	caller *harness.Caller
	rand   *rand.Rand
	number int
	items  []*onceItem
}

// run sends items until stop is closed.
func (c *onceCaller) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		item := c.newItem(n)
		c.items = append(c.items, item)
		c.sendWithRetries(item)
		time.Sleep(time.Duration(c.rand.IntN(60)) * time.Millisecond)
	}
}

// newItem creates a random item. It is a completion that is marked as non-idempotent
// by the header, or a call that is marked by the header or by its path.
func (c *onceCaller) newItem(n int) *onceItem {
	key := fmt.Sprintf("once-%d-%d", c.number, n)
	content := fmt.Sprintf("payment run %d of caller %d", n, c.number)
	switch c.rand.IntN(4) {
	case 0:
		return &onceItem{isCall: true, call: harness.Call{Customer: "office", Key: key, Path: oncePath + "/" + key, Body: content}}
	case 1:
		return &onceItem{isCall: true, call: harness.Call{Customer: "office", Key: key, Path: "/menus/" + key, Body: content, NonIdempotent: true}}
	default:
		return &onceItem{request: harness.Request{
			Customer: "office", Key: key, Prompt: content, MaxTokens: int64(8 + c.rand.IntN(25)), NonIdempotent: true, NonStreaming: c.rand.IntN(4) == 0,
		}}
	}
}

// sendWithRetries sends an item through changing daemons until an attempt is
// conclusive or onceMaxAttempts is reached.
func (c *onceCaller) sendWithRetries(item *onceItem) {
	at := c.rand.IntN(len(c.fleet.Daemons))
	if c.rand.Float64() < onceConcurrentShare {
		if c.sendConcurrently(item, at) {
			return
		}
		at += 2
	}
	for range onceMaxAttempts {
		if c.send(item, at, onceSendTimeout).conclusive() {
			return
		}
		at += 1 + c.rand.IntN(len(c.fleet.Daemons)-1)
		time.Sleep(time.Duration(20+c.rand.IntN(200)) * time.Millisecond)
	}
}

// sendConcurrently sends an item through two daemons at the same time. It reports
// whether one of the attempts got the complete answer.
func (c *onceCaller) sendConcurrently(item *onceItem, at int) bool {
	var outcomes [2]onceAttempt
	var both sync.WaitGroup
	for i := range outcomes {
		both.Go(func() { outcomes[i] = c.send(item, at+i, onceSendTimeout) })
	}
	both.Wait()
	return outcomes[0].complete || outcomes[1].complete
}

// retryInconclusive repeats an item after the faults until an attempt is conclusive,
// at most onceMaxAttempts times.
func (c *onceCaller) retryInconclusive(item *onceItem) {
	for range onceMaxAttempts {
		history := item.history()
		if history[len(history)-1].conclusive() {
			return
		}
		c.send(item, c.rand.IntN(len(c.fleet.Daemons)), onceFinalTimeout)
	}
}

// sendUntilConclusive sends a new item and repeats it like retryInconclusive.
func (c *onceCaller) sendUntilConclusive(item *onceItem) {
	c.send(item, c.rand.IntN(len(c.fleet.Daemons)), onceFinalTimeout)
	c.retryInconclusive(item)
}

// send sends an item once, through the daemon with index at modulo the number of
// daemons.
func (c *onceCaller) send(item *onceItem, at int, timeout time.Duration) onceAttempt {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return item.send(ctx, c.caller, c.fleet.Daemons[at%len(c.fleet.Daemons)])
}
