package forward

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a malformed rate limit of a target that is taken for a number, and against a valid one that is rejected.
func TestRateLimitOfTargetIsParsed(t *testing.T) {
	for value, limit := range map[string]float64{"14.8": 14.8, "0": 0, "1.1": 1.1, "250": 250, "0.05": 0.05} {
		parsed, err := parseRateLimit(value)
		assert.NilError(t, err, value)
		assert.Equal(t, parsed, limit)
	}
	for _, value := range []string{"-1", "NaN", "Inf", "1e400", "many", "1,5", "", "1 2"} {
		_, err := parseRateLimit(value)
		assert.ErrorContains(t, err, "requests per second", value)
	}
}
