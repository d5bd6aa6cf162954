package gateway

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// claimLookupTimeout bounds the look-up of a claim before a refusal is sent.
const claimLookupTimeout = 250 * time.Millisecond

// Claims looks up the durable claims of non-idempotent requests.
type Claims interface {
	// Claimed reports whether a request of a customer has a claim. It returns
	// an error if the table does not answer.
	Claimed(ctx context.Context, customer, request string) (bool, error)
}

// truthful weakens the refusal of a non-idempotent request that an earlier
// submission under the same key may have dispatched. Its caller would
// otherwise take "not run" as leave to send the order under a new key.
func (x *exchange) adjustVerdict(e *verdict.Error) *verdict.Error {
	if e.Verdict != verdict.NotRun {
		return e
	}
	if !x.mayHaveRun && !x.mayBeClaimed(e.Reason) {
		return e
	}
	adjusted := *e
	adjusted.Verdict = verdict.MayHaveRun
	return &adjusted
}

// claimedBefore reports whether a claim exists or cannot be ruled out. The home
// answers key_reused only from a claim of another body, which did not run this one.
func (x *exchange) mayBeClaimed(r verdict.Reason) bool {
	if x.req == nil || !x.req.nonIdempotent || r == verdict.KeyReused || x.server.opts.Claims == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), claimLookupTimeout)
	defer cancel()
	claimed, err := x.server.opts.Claims.Claimed(ctx, x.customer, x.id)
	return claimed || err != nil
}
