package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against candidates with similar names that win more than their share of
// the keys.
func TestScoresSpreadKeys(t *testing.T) {
	const candidates, keys = 8, 8000
	wins := make([]int, candidates)
	for k := range keys {
		best := 0
		for c := range candidates {
			if Score(fmt.Sprint("key-", k), fmt.Sprint("t", c)) > Score(fmt.Sprint("key-", k), fmt.Sprint("t", best)) {
				best = c
			}
		}
		wins[best]++
	}
	for _, n := range wins {
		assert.Assert(t, n > keys/candidates*8/10 && n < keys/candidates*12/10, "%v", wins)
	}
}

// Guards against different scores for the same key and candidate, and against equal
// scores for pairs with the same concatenation. A ranking that changes between releases
// would move every prompt to a target that has not cached it.
func TestScoreIsStable(t *testing.T) {
	assert.Equal(t, Score("menu", "t1"), Score("menu", "t1"))
	assert.Assert(t, Score("menu", "t1") != Score("men", "ut1"))
}
