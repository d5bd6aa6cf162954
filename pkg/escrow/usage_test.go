package escrow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an upper bound of the spent tokens that falls with time, is
// below the tokens used or exceeds the share.
func TestMaxSpentRisesWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Int64Range(0, 1_000_000).Draw(t, "amount")
		spent := rapid.Int64Range(0, amount).Draw(t, "spent")
		r := UsageReport{Customers: map[string]Usage{"c": {
			Used: spent, Ceiling: spent + rapid.Int64Range(0, 100_000).Draw(t, "headroom"), CeilingRate: rapid.Int64Range(0, 100_000).Draw(t, "rate"),
			SustainedRate: rapid.Int64Range(0, 100_000).Draw(t, "sustained rate"), Burst: rapid.Int64Range(0, 100_000).Draw(t, "burst"),
		}}}
		last := int64(0)
		for age := time.Duration(0); age < 2*leaseDuration; age += 300 * time.Millisecond {
			limit := r.MaxSpent("c", 0, amount, age)
			assert.Assert(t, limit >= last && limit >= spent && limit <= amount)
			last = limit
		}
	})
}

// Guards against counting only a part of a share that the report does not
// list, since all of it may be spent.
func TestUnreportedShareCountsInFull(t *testing.T) {
	r := UsageReport{Customers: map[string]Usage{"c": {Epoch: 0, Ceiling: 10}}}
	assert.Equal(t, r.MaxSpent("other", 0, 500, 0), int64(500))
	assert.Equal(t, r.MaxSpent("c", 1, 500, 0), int64(500))
	assert.Equal(t, r.MaxSpent("c", 0, 500, 0), int64(10))
}
