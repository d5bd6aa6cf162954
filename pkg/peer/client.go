package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// Client calls the daemon at one address over one kept connection, which it
// opens with the first call and again after it broke. It is safe for concurrent
// use; calls on the connection do not wait for each other's replies.
//
// A call is never repeated by the client, since the peer may have acted on it.
type Client struct {
	addr string
	opt  Options
	link *link
}

var _ home.Authority = (*Client)(nil)

// NewClient returns a client of the daemon at addr ("host:port"). It does not connect yet.
func NewClient(addr string, opt Options) *Client {
	opt = opt.withDefaults()
	return &Client{addr: addr, opt: opt, link: newLink(addr, opt)}
}

// Addr returns the address of the peer.
func (c *Client) Addr() string { return c.addr }

// Close closes the connection. Calls under way and later ones fail.
func (c *Client) Close() { c.link.close() }

// Reserve implements home.Authority. It returns ErrUnreachable or ErrRemote
// (wrapped), or the error of ctx.
func (c *Client) Reserve(ctx context.Context, req home.ReserveRequest) (home.ReserveReply, error) {
	var reply home.ReserveReply
	err := c.call(ctx, methodReserve, req, &reply)
	return reply, err
}

// Settle implements home.Authority with the errors of Reserve.
func (c *Client) Settle(ctx context.Context, req home.SettleRequest) (home.SettleReply, error) {
	var reply home.SettleReply
	err := c.call(ctx, methodSettle, req, &reply)
	return reply, err
}

// PushBundle sends a bundle as JSON. It returns ErrRemote (wrapped) if the peer
// did not take it, else the errors of Reserve.
func (c *Client) PushBundle(ctx context.Context, bundle json.RawMessage) error {
	return c.call(ctx, methodBundle, bundle, nil)
}

// Hello introduces this daemon and returns the peer's answer, with the errors of Reserve.
func (c *Client) Hello(ctx context.Context, self Hello) (Hello, error) {
	var reply Hello
	err := c.call(ctx, methodHello, self, &reply)
	return reply, err
}

// call makes one call within the timeout of the client.
func (c *Client) call(ctx context.Context, method string, params, result any) error {
	callCtx, cancel := context.WithTimeout(ctx, c.opt.Timeout)
	defer cancel()
	conn, err := c.link.get(callCtx)
	if err == nil {
		err = conn.rpc.Call(callCtx, method, params, result)
		c.observe(conn, err)
	}
	if err != nil && c.link.closed() {
		err = ErrClosed
	}
	return callError(ctx, method, c.addr, err)
}

// observe takes note of whether the peer replied.
func (c *Client) observe(conn *clientConn, err error) {
	var remote *jsonrpc2.Error
	if err == nil || errors.As(err, &remote) {
		conn.answered()
		return
	}
	conn.unanswered()
}
