package budget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a stream that counts as settled without being so, whose
// tokens would be returned although it ran.
func TestStreamSetAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 40
		var set StreamSet
		oracle := make(map[int64]bool)
		for _, n := range rapid.SliceOf(rapid.Int64Range(0, limit-1)).Draw(t, "numbers") {
			before := set
			set = set.Add(n)
			assert.Equal(t, before.Contains(n), oracle[n], "the receiver was changed")
			oracle[n] = true
		}
		missing := set.Missing(limit)
		assert.Equal(t, len(missing)+len(oracle), limit)
		for _, n := range missing {
			assert.Assert(t, !oracle[n])
		}
	})
}
