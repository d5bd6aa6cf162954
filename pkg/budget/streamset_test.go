package budget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a stream that counts as settled although it is not: its tokens
// would be returned to the budget although it ran.
func TestStreamSetMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 40
		var set StreamSet
		oracle := make(map[int64]bool)
		for _, n := range rapid.SliceOf(rapid.Int64Range(0, limit-1)).Draw(t, "numbers") {
			before := set
			set = set.Add(n)
			assert.Equal(t, before.Contains(n), oracle[n], "Add changed its receiver")
			oracle[n] = true
		}
		missing := set.Missing(limit)
		assert.Equal(t, len(missing)+len(oracle), limit)
		for _, n := range missing {
			assert.Assert(t, !oracle[n])
		}
	})
}
