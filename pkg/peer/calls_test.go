package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Guards against losing a field of a request, a reply or a refusal between daemons.
func TestAuthorityRoundTrip(t *testing.T) {
	refusal := verdict.New(verdict.NotRun, verdict.BudgetExhausted, "no tokens").WithRetryAfter(3 * time.Second)
	reserve := home.ReserveRequest{Customer: "c", Budget: "b", Request: "r", Fingerprint: "f", NonIdempotent: true, Attempt: 2, Bound: 1 << 40, Target: "t", Entry: "e"}
	settle := home.SettleRequest{Customer: "c", Stream: "g.1", Outcome: home.Completed, Tokens: 7, UsageKnown: true, Final: true, Bound: 9}
	authority := &fakeAuthority{reserve: func(_ context.Context, req home.ReserveRequest) (home.ReserveReply, error) {
		assert.Check(t, req == reserve)
		return home.ReserveReply{Outcome: home.Refused, Refusal: refusal}, nil
	}}
	addr, _ := startServer(t, "127.0.0.1:0", ServerOptions{Authority: authority})
	c := newTestClient(t, addr, Options{})
	reply, err := c.Reserve(t.Context(), reserve)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, home.ReserveReply{Outcome: home.Refused, Refusal: refusal})
	settled, err := c.Settle(t.Context(), settle)
	assert.NilError(t, err)
	assert.Assert(t, settled.Durable)
	assert.DeepEqual(t, authority.settled, []home.SettleRequest{settle})
}

// Guards against reporting a peer that replied with an error as unreachable.
func TestRemoteError(t *testing.T) {
	authority := &fakeAuthority{reserve: func(context.Context, home.ReserveRequest) (home.ReserveReply, error) {
		return home.ReserveReply{}, errors.New("no such grant")
	}}
	addr, _ := startServer(t, "127.0.0.1:0", ServerOptions{Authority: authority})
	c := newTestClient(t, addr, Options{})
	_, err := c.Reserve(t.Context(), home.ReserveRequest{})
	assert.ErrorIs(t, err, ErrRemote)
	assert.ErrorContains(t, err, "no such grant")
	assert.Assert(t, !errors.Is(err, ErrUnreachable))
	assert.ErrorIs(t, c.PushBundle(t.Context(), json.RawMessage(`{}`)), ErrRemote) // the server has no bundle handler
}

// Guards against a pushed bundle whose content changes, and against losing the
// receiver's error.
func TestPushBundleDeliversAndReturnsError(t *testing.T) {
	received := make(chan string, 2)
	addr, _ := startServer(t, "127.0.0.1:0", ServerOptions{OnBundle: func(raw json.RawMessage) error {
		received <- string(raw)
		if len(received) == 2 {
			return errors.New("older version")
		}
		return nil
	}})
	c := newTestClient(t, addr, Options{})
	bundle := json.RawMessage(`{"version":7,"customers":[{"id":"régie <&>"}]}`)
	assert.NilError(t, c.PushBundle(t.Context(), bundle))
	assert.ErrorContains(t, c.PushBundle(t.Context(), bundle), "older version")
	var got, want any
	assert.NilError(t, json.Unmarshal([]byte(<-received), &got))
	assert.NilError(t, json.Unmarshal(bundle, &want))
	assert.DeepEqual(t, got, want)
}

// Guards against a hello that does not carry the identity of both daemons.
func TestHelloExchangesIdentity(t *testing.T) {
	addr, _ := startServer(t, "127.0.0.1:0", ServerOptions{OnHello: func(caller Hello) Hello {
		return Hello{Incarnation: "answers " + caller.Incarnation, BundleVersion: 3}
	}})
	got, err := newTestClient(t, addr, Options{}).Hello(t.Context(), Hello{Incarnation: "d1"})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Hello{Incarnation: "answers d1", BundleVersion: 3})
}

// Guards against a slow call that delays other calls on its connection.
func TestSlowCallDoesNotBlockOthers(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	authority := &fakeAuthority{reserve: func(_ context.Context, req home.ReserveRequest) (home.ReserveReply, error) {
		if req.Request == "slow" {
			close(entered)
			<-release
		}
		return home.ReserveReply{Stream: req.Request + ".1"}, nil
	}}
	addr, _ := startServer(t, "127.0.0.1:0", ServerOptions{Authority: authority})
	c := newTestClient(t, addr, Options{Timeout: 10 * time.Second})
	slow := make(chan error, 1)
	go func() {
		_, err := c.Reserve(t.Context(), home.ReserveRequest{Request: "slow"})
		slow <- err
	}()
	<-entered
	for range 20 {
		reserveOK(t, c)
	}
	close(release)
	assert.NilError(t, <-slow)
}

// Guards against delivering replies to the wrong caller when calls are concurrent.
func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	addr, _ := startServer(t, "127.0.0.1:0", ServerOptions{Authority: &fakeAuthority{}})
	c := newTestClient(t, addr, Options{Timeout: 10 * time.Second})
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			for j := range 30 {
				id := fmt.Sprintf("%d-%d", i, j)
				reply, err := c.Reserve(t.Context(), home.ReserveRequest{Request: id})
				assert.Check(t, err)
				assert.Check(t, reply.Stream == id+".1", "got %s for %s", reply.Stream, id)
			}
		})
	}
	wg.Wait()
}

// Guards against reporting the peer as unreachable when the caller's context ends.
func TestCancelledCallIsNotUnreachable(t *testing.T) {
	authority := &fakeAuthority{reserve: func(ctx context.Context, _ home.ReserveRequest) (home.ReserveReply, error) {
		time.Sleep(100 * time.Millisecond)
		return home.ReserveReply{}, nil
	}}
	addr, _ := startServer(t, "127.0.0.1:0", ServerOptions{Authority: authority})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := newTestClient(t, addr, Options{}).Reserve(ctx, home.ReserveRequest{})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, !errors.Is(err, ErrUnreachable))
}

// Guards against reporting a home as unreachable while its table is down: after
// maxUnansweredCalls settlements without a reply the client closed the
// connection, and the pending reservations on it failed.
func TestSettleRepliesBeforeSettlementIsDurable(t *testing.T) {
	authority := &fakeAuthority{settle: func(ctx context.Context, _ home.SettleRequest) (home.SettleReply, error) {
		<-ctx.Done()
		return home.SettleReply{Durable: false}, nil
	}}
	addr, _ := startServer(t, "127.0.0.1:0", ServerOptions{Authority: authority})
	c := newTestClient(t, addr, Options{})
	reply, err := c.Settle(t.Context(), home.SettleRequest{Stream: "g.1"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Durable, false)
	assert.Assert(t, settleReplyTimeout < DefaultTimeout)
}
