package admin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// Submit stores a proposal signed by its author.
func (c *Client) Submit(ctx context.Context, p bundle.Proposal) (SubmitReply, error) {
	var reply SubmitReply
	err := c.do(ctx, request{method: http.MethodPost, path: "/bundles", body: p}, &reply)
	return reply, err
}

// SignOff adds a signature to a proposal.
func (c *Client) SignOff(ctx context.Context, digest string, s bundle.Signature) (SubmitReply, error) {
	var reply SubmitReply
	path := "/bundles/proposals" + pathSegment(digest) + "/signoffs"
	err := c.do(ctx, request{method: http.MethodPost, path: path, body: s}, &reply)
	return reply, err
}

// Current returns the bundle version in force.
func (c *Client) Current(ctx context.Context) (*bundle.Accepted, error) {
	var reply bundle.Accepted
	err := c.do(ctx, request{method: http.MethodGet, path: "/bundles/current"}, &reply)
	return &reply, err
}

// Version returns an accepted bundle version.
func (c *Client) Version(ctx context.Context, version uint64) (*bundle.Accepted, error) {
	var reply bundle.Accepted
	path := "/bundles/versions" + pathSegment(strconv.FormatUint(version, 10))
	err := c.do(ctx, request{method: http.MethodGet, path: path}, &reply)
	return &reply, err
}

// Proposals returns every stored proposal.
func (c *Client) Proposals(ctx context.Context) (bundle.ProposalList, error) {
	var reply bundle.ProposalList
	err := c.do(ctx, request{method: http.MethodGet, path: "/bundles/proposals"}, &reply)
	return reply, err
}

// Proposal returns one proposal.
func (c *Client) Proposal(ctx context.Context, digest string) (bundle.Proposal, error) {
	var reply bundle.Proposal
	err := c.do(ctx, request{method: http.MethodGet, path: "/bundles/proposals" + pathSegment(digest)}, &reply)
	return reply, err
}

// Status returns the version in force and the versions that the daemons hold.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	var reply StatusReply
	err := c.do(ctx, request{method: http.MethodGet, path: "/bundles/status"}, &reply)
	return reply, err
}
