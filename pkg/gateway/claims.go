package gateway

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// claimLookupTimeout is the maximum duration of a claim lookup before a refusal is sent.
const claimLookupTimeout = 250 * time.Millisecond

// Claims looks up the durable claims of non-idempotent requests.
type Claims interface {
	// Claimed reports whether a request of a customer has a claim. It returns an
	// error if the table that stores the claims cannot be read.
	Claimed(ctx context.Context, customer, request string) (bool, error)
}

// adjustVerdict changes the verdict NotRun of a refusal to MayHaveRun if the request
// may have been dispatched, now or when the caller sent it earlier with the same
// idempotency key. A caller that receives "not run" may send the request again under a
// new key, which would run it twice.
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

// mayBeClaimed reports whether a non-idempotent request has a claim, or the lookup
// failed. It returns false for a refusal with reason key_reused: the home returns that
// reason only if the claim belongs to a request with another body, so this one did not
// run.
func (x *exchange) mayBeClaimed(r verdict.Reason) bool {
	if x.req == nil || !x.req.nonIdempotent || r == verdict.KeyReused || x.server.opts.Claims == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), claimLookupTimeout)
	defer cancel()
	claimed, err := x.server.opts.Claims.Claimed(ctx, x.customer, x.id)
	return claimed || err != nil
}
