package fleet

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a quantile that is read from the wrong bucket, which would
// report too low a latency of first tokens.
func TestHistogramQuantile(t *testing.T) {
	h := Histogram{0.001: 50, 0.005: 98, 0.01: 100, math.Inf(1): 100}
	assert.Equal(t, h.Quantile(0.5), time.Millisecond)
	assert.Equal(t, h.Quantile(0.99), 7500*time.Microsecond)
	assert.Equal(t, Histogram{0.001: 0, math.Inf(1): 4}.Quantile(0.99), time.Millisecond)
	assert.Equal(t, Histogram{}.Quantile(0.5), time.Duration(0))
}
