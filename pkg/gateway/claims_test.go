package gateway

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// fakeClaims returns the same result for every lookup.
type fakeClaims struct {
	claimed bool
	err     error
	lookups int
}

func (c *fakeClaims) Claimed(context.Context, string, string) (bool, error) {
	c.lookups++
	return c.claimed, c.err
}

// Guards against the verdict not_run for a retry whose first submission ran. Its caller
// would send the request again under a new key, and it would run twice.
func TestRefusalOfClaimedRequest(t *testing.T) {
	cases := []struct {
		desc     string
		claims   fakeClaims
		set      setHeader
		shutdown bool
		verdict  verdict.Verdict
		reason   verdict.Reason
		lookups  int
	}{
		{"no claim", fakeClaims{}, nonIdempotent, false, verdict.NotRun, verdict.NoTarget, 1},
		{"claimed", fakeClaims{claimed: true}, nonIdempotent, false, verdict.MayHaveRun, verdict.NoTarget, 1},
		{"table down", fakeClaims{err: errors.New("down")}, nonIdempotent, false, verdict.MayHaveRun, verdict.NoTarget, 1},
		{"claimed, shutting down", fakeClaims{claimed: true}, nonIdempotent, true, verdict.MayHaveRun, verdict.ShuttingDown, 1},
		{"idempotent", fakeClaims{claimed: true}, withIdempotencyKey, false, verdict.NotRun, verdict.NoTarget, 0},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			f := newFixture(t)
			f.server.opts.Claims = &tc.claims
			f.picker.targets = nil
			if tc.shutdown {
				f.server.BeginShutdown()
			}
			assertRefused(t, f.chat(streamBody, tc.set), tc.verdict, tc.reason)
			assert.Equal(t, tc.claims.lookups, tc.lookups)
		})
	}
}
