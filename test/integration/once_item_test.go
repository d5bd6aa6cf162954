package integration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"

	"github.com/peppertrail/peppertrail/test/harness"
)

// onceItem is a non-idempotent request under one key with all its sendings:
// either a completion or a call of the plain service.
type onceItem struct {
	request harness.Request
	call    harness.Call
	plain   bool

	mu       sync.Mutex
	sendings []onceSending
}

// key returns the idempotency key.
func (i *onceItem) key() string {
	if i.plain {
		return i.call.Key
	}
	return i.request.Key
}

// digest returns what identifies the item in the journals.
func (i *onceItem) digest() string {
	if !i.plain {
		return i.request.Digest()
	}
	sum := sha256.Sum256([]byte(i.call.Body))
	return hex.EncodeToString(sum[:])
}

// send sends the item once and records the outcome.
func (i *onceItem) send(ctx context.Context, c *harness.Caller, d *harness.Daemon) onceSending {
	s := i.sendCompletion
	if i.plain {
		s = i.sendCall
	}
	sending := s(ctx, c, d)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sendings = append(i.sendings, sending)
	return sending
}

func (i *onceItem) sendCompletion(ctx context.Context, c *harness.Caller, d *harness.Daemon) onceSending {
	a := c.Send(ctx, d, i.request)
	s := onceSending{daemon: d.Name, sent: a.Sent, ended: a.Ended, stream: a.Stream, verdict: a.Verdict, reason: a.Reason, err: a.Err}
	s.whole = a.Whole && a.Err == nil
	s.correct = s.whole && a.Text == i.request.Text(a.Stream)
	return s
}

func (i *onceItem) sendCall(ctx context.Context, c *harness.Caller, d *harness.Daemon) onceSending {
	a := c.Call(ctx, d, i.call)
	s := onceSending{daemon: d.Name, sent: a.Sent, ended: a.Ended, verdict: a.Verdict, reason: a.Reason, err: a.Err}
	if a.Echo != nil {
		s.whole = true
		s.stream = a.Echo.Stream
		s.correct = a.Echo.Digest == i.digest() && a.Echo.Path == i.call.Path
	}
	return s
}

// history returns the sendings in order of their begin.
func (i *onceItem) history() []onceSending {
	i.mu.Lock()
	defer i.mu.Unlock()
	sorted := slices.Clone(i.sendings)
	slices.SortFunc(sorted, func(a, b onceSending) int { return a.sent.Compare(b.sent) })
	return sorted
}
