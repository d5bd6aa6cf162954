package budget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a remainder of a budget that is divided into smaller and
// smaller grants until none is large enough for a request.
func TestGrantSizeUsesRemainderBelowMinTokens(t *testing.T) {
	p := Policy{MinTokens: 2000, MaxShare: 0.5}
	for _, c := range []struct{ free, want, need, size int64 }{
		{100_000, 80_000, 0, 50_000}, // the share bounds a large grant
		{100_000, 10_000, 0, 10_000},
		{3000, 80_000, 0, 2000}, // the share would be less than the smallest grant
		{1500, 80_000, 0, 1500},
		{1500, 0, 100, 1500},
		{5000, 0, 4000, 4000},
		{100, 0, 101, 0},
		{0, 10, 0, 0},
	} {
		assert.Equal(t, p.Size(c.free, c.want, c.need), c.size, "%+v", c)
	}
}

// Guards against a grant that is larger than the free tokens or smaller than
// the bound of the waiting request.
func TestGrantSizeStaysWithinFreeAndNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.Int64Range(0, 1_000_000)
		p := Policy{MinTokens: rapid.Int64Range(1, 100_000).Draw(t, "min"), MaxShare: rapid.Float64Range(0.01, 1).Draw(t, "share")}
		free, want, need := tokens.Draw(t, "free"), tokens.Draw(t, "want"), tokens.Draw(t, "need")
		size := p.Size(free, want, need)
		if size < 0 || size > free || (size > 0 && size < need) || (size == 0 && free > 0 && free >= need) {
			t.Fatalf("grant size is %d tokens with %d free and %d needed", size, free, need)
		}
	})
}
