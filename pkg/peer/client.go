package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// Client calls the daemon at one address over one persistent connection, which it
// opens with the first call and reopens after a failure. It is safe for
// concurrent use; calls on the connection do not wait for each other's replies.
//
// The client never retries a call, since the peer may have executed it.
type Client struct {
	addr   string
	opt    Options
	shared *sharedConn
}

var _ home.Authority = (*Client)(nil)

// NewClient returns a client of the daemon at addr ("host:port"). The first call
// opens the connection.
func NewClient(addr string, opt Options) *Client {
	opt = opt.withDefaults()
	return &Client{addr: addr, opt: opt, shared: newSharedConn(addr, opt)}
}

// Addr returns the address of the peer.
func (c *Client) Addr() string { return c.addr }

// Close closes the connection. Pending and later calls fail.
func (c *Client) Close() { c.shared.close() }

// Reserve implements home.Authority. It returns ErrUnreachable or ErrRemote
// (wrapped), or the error of ctx.
func (c *Client) Reserve(ctx context.Context, req home.ReserveRequest) (home.ReserveReply, error) {
	var reply home.ReserveReply
	err := c.call(ctx, methodReserve, req, &reply)
	return reply, err
}

// Settle implements home.Authority. It returns the errors of Reserve.
func (c *Client) Settle(ctx context.Context, req home.SettleRequest) (home.SettleReply, error) {
	var reply home.SettleReply
	err := c.call(ctx, methodSettle, req, &reply)
	return reply, err
}

// PushBundle sends a bundle as JSON. It returns ErrRemote (wrapped) if the peer
// rejected the bundle, and otherwise the errors of Reserve.
func (c *Client) PushBundle(ctx context.Context, bundle json.RawMessage) error {
	return c.call(ctx, methodBundle, bundle, nil)
}

// Hello sends this daemon's Hello and returns the peer's. It returns the errors of
// Reserve.
func (c *Client) Hello(ctx context.Context, self Hello) (Hello, error) {
	var reply Hello
	err := c.call(ctx, methodHello, self, &reply)
	return reply, err
}

// call makes one call within Options.Timeout.
func (c *Client) call(ctx context.Context, method string, params, result any) error {
	callCtx, cancel := context.WithTimeout(ctx, c.opt.Timeout)
	defer cancel()
	conn, err := c.shared.get(callCtx)
	if err == nil {
		err = conn.rpc.Call(callCtx, method, params, result)
		c.recordResult(conn, err)
	}
	if err != nil && c.shared.closed() {
		err = ErrClosed
	}
	return callError(ctx, method, c.addr, err)
}

// recordResult records on conn whether the peer replied.
func (c *Client) recordResult(conn *clientConn, err error) {
	var remote *jsonrpc2.Error
	if err == nil || errors.As(err, &remote) {
		conn.recordReply()
		return
	}
	conn.recordNoReply()
}
