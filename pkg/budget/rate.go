package budget

import (
	"math"
	"time"
)

// rateWindow is the time constant of the spend rate. Shorter windows made the
// grant size follow single large requests.
const rateWindow = 20 * time.Second

// rate is an exponentially decayed spend rate.
type rate struct {
	sum  float64 // tokens, decayed with rateWindow
	seen time.Time
}

func (r *rate) decay(now time.Time) {
	if r.seen.IsZero() {
		r.seen = now
		return
	}
	elapsed := now.Sub(r.seen)
	if elapsed <= 0 {
		return
	}
	r.sum *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	r.seen = now
}

func (r *rate) add(now time.Time, tokens int64) {
	r.decay(now)
	r.sum += float64(tokens)
}

// perSecond returns the rate in tokens per second.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / rateWindow.Seconds()
}
