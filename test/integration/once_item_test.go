package integration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"

	"github.com/peppertrail/peppertrail/test/harness"
)

// onceItem is a non-idempotent request under one key with the record of all its send
// attempts. It is either a completion or a call of the plain service.
type onceItem struct {
	request harness.Request
	call    harness.Call
	isCall  bool // true: call is set; false: request is set

	mu       sync.Mutex
	attempts []onceAttempt
}

// key returns the idempotency key.
func (item *onceItem) key() string {
	if item.isCall {
		return item.call.Key
	}
	return item.request.Key
}

// digest returns the digest that identifies the item in the journals.
func (item *onceItem) digest() string {
	if !item.isCall {
		return item.request.Digest()
	}
	sum := sha256.Sum256([]byte(item.call.Body))
	return hex.EncodeToString(sum[:])
}

// send sends the item once and records the outcome.
func (item *onceItem) send(ctx context.Context, c *harness.Caller, d *harness.Daemon) onceAttempt {
	s := item.sendCompletion
	if item.isCall {
		s = item.sendCall
	}
	attempt := s(ctx, c, d)
	item.mu.Lock()
	defer item.mu.Unlock()
	item.attempts = append(item.attempts, attempt)
	return attempt
}

func (item *onceItem) sendCompletion(ctx context.Context, c *harness.Caller, d *harness.Daemon) onceAttempt {
	a := c.Send(ctx, d, item.request)
	s := onceAttempt{daemon: d.Name, sent: a.Sent, ended: a.Ended, stream: a.Stream, verdict: a.Verdict, reason: a.Reason, err: a.Err}
	s.complete = a.Complete && a.Err == nil
	s.correct = s.complete && a.Text == item.request.Text(a.Stream)
	return s
}

func (item *onceItem) sendCall(ctx context.Context, c *harness.Caller, d *harness.Daemon) onceAttempt {
	a := c.Call(ctx, d, item.call)
	s := onceAttempt{daemon: d.Name, sent: a.Sent, ended: a.Ended, verdict: a.Verdict, reason: a.Reason, err: a.Err}
	if a.Echo != nil {
		s.complete = true
		s.stream = a.Echo.Stream
		s.correct = a.Echo.Digest == item.digest() && a.Echo.Path == item.call.Path
	}
	return s
}

// history returns the send attempts in order of their start.
func (item *onceItem) history() []onceAttempt {
	item.mu.Lock()
	defer item.mu.Unlock()
	sorted := slices.Clone(item.attempts)
	slices.SortFunc(sorted, func(a, b onceAttempt) int { return a.sent.Compare(b.sent) })
	return sorted
}
