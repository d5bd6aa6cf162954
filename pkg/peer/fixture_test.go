package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// testTimeout is the call timeout of tests. It is long enough for a busy machine
// with the race detector enabled.
const testTimeout = time.Second

// fakeAuthority is a home.Authority that calls the given functions. Without them it
// grants every reservation and records settlements.
type fakeAuthority struct {
	reserve func(context.Context, home.ReserveRequest) (home.ReserveReply, error)
	settle  func(context.Context, home.SettleRequest) (home.SettleReply, error)

	mu      sync.Mutex
	settled []home.SettleRequest
}

func (f *fakeAuthority) Reserve(ctx context.Context, req home.ReserveRequest) (home.ReserveReply, error) {
	if f.reserve != nil {
		return f.reserve(ctx, req)
	}
	return home.ReserveReply{Outcome: home.Granted, Stream: req.Request + ".1"}, nil
}

func (f *fakeAuthority) Settle(ctx context.Context, req home.SettleRequest) (home.SettleReply, error) {
	if f.settle != nil {
		return f.settle(ctx, req)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settled = append(f.settled, req)
	return home.SettleReply{Durable: true}, nil
}

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// startServer runs a server on addr. It returns the server's address and a function
// that stops the server and waits for its end.
func startServer(t *testing.T, addr string, opt ServerOptions) (string, func()) {
	t.Helper()
	l := listen(t, addr)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(opt).Serve(ctx, l) }()
	stop := sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-done)
	})
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

func newTestClient(t *testing.T, addr string, opt Options) *Client {
	t.Helper()
	if opt.Timeout == 0 {
		opt.Timeout = testTimeout
	}
	c := NewClient(addr, opt)
	t.Cleanup(c.Close)
	return c
}

func reserveOK(t *testing.T, c *Client) {
	t.Helper()
	reply, err := c.Reserve(t.Context(), home.ReserveRequest{Request: "r"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Stream, "r.1")
}
