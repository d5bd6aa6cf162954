package fleet

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Histogram maps the upper bound of each bucket, in seconds, to the cumulative
// count. The bound of the last bucket is +Inf.
type Histogram map[float64]uint64

// Quantile returns the value at quantile q, interpolated linearly within its
// bucket. For a value in the last bucket it returns that bucket's lower bound.
func (h Histogram) Quantile(q float64) time.Duration {
	bounds := slices.Sorted(maps.Keys(h))
	if len(bounds) == 0 || h[bounds[len(bounds)-1]] == 0 {
		return 0
	}
	want := q * float64(h[bounds[len(bounds)-1]])
	below, counted := 0.0, 0.0
	for _, bound := range bounds {
		count := float64(h[bound])
		if count >= want && count > counted {
			if math.IsInf(bound, 1) {
				return seconds(below)
			}
			return seconds(below + (bound-below)*(want-counted)/(count-counted))
		}
		below, counted = bound, count
	}
	return seconds(below)
}

// seconds rounds to nanoseconds: truncation would depend on whether the processor fuses a
// multiplication with an addition.
func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
