package admin

import (
	"context"
	"net/http"
)

// Request returns the table's rows about one request and the decisions of the
// answering daemon.
func (c *Client) Request(ctx context.Context, customer, id string) (RequestReply, error) {
	var reply RequestReply
	path := "/requests" + pathSegment(customer) + pathSegment(id)
	err := c.do(ctx, request{method: http.MethodGet, path: path}, &reply)
	return reply, err
}

// Targets lists the targets as the daemon sees them.
func (c *Client) Targets(ctx context.Context) (TargetsReply, error) {
	var reply TargetsReply
	err := c.do(ctx, request{method: http.MethodGet, path: "/targets"}, &reply)
	return reply, err
}

// Drain stops new work on a target.
func (c *Client) Drain(ctx context.Context, id string) (DrainReply, error) {
	var reply DrainReply
	path := "/targets" + pathSegment(id) + "/drain"
	err := c.do(ctx, request{method: http.MethodPost, path: path}, &reply)
	return reply, err
}

// Hosts lists the holder rows of the daemons.
func (c *Client) Hosts(ctx context.Context) (HostsReply, error) {
	var reply HostsReply
	err := c.do(ctx, request{method: http.MethodGet, path: "/hosts"}, &reply)
	return reply, err
}

// Repairs returns one page of repair records whose keys come after the given key.
func (c *Client) Repairs(ctx context.Context, after string, limit int) (RepairsReply, error) {
	var reply RepairsReply
	err := c.do(ctx, request{method: http.MethodGet, path: "/repairs", query: pageQuery(after, limit)}, &reply)
	return reply, err
}
