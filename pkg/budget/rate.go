package budget

import (
	"math"
	"time"
)

// rateWindow is the time constant of the exponential decay. With a shorter one,
// single large requests would determine the grant size.
const rateWindow = 20 * time.Second

// minRateAge is the shortest period over which a rate is computed. Without it,
// the tokens of the first request would be divided by a period close to zero.
const minRateAge = 2 * time.Second

// rate is an exponentially decayed rate of tokens or reservations.
type rate struct {
	sum       float64   // sum of the added values, decayed with the time constant rateWindow
	decayedAt time.Time // when sum was last decayed
	startedAt time.Time // when the first value was added
}

func (r *rate) decay(now time.Time) {
	if r.decayedAt.IsZero() {
		r.decayedAt = now
		return
	}
	elapsed := now.Sub(r.decayedAt)
	if elapsed <= 0 {
		return
	}
	r.sum *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	r.decayedAt = now
}

func (r *rate) add(now time.Time, amount int64) {
	r.decay(now)
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	r.sum += float64(amount)
}

// perSecond returns the rate per second. While the first value is recent, the
// decayed sum is divided only by the part of rateWindow that has been covered;
// divided by the whole of it, the result would be 40% of the true rate after
// 10 s.
func (r *rate) perSecond(now time.Time) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	r.decay(now)
	age := max(now.Sub(r.startedAt), minRateAge)
	covered := 1 - math.Exp(-age.Seconds()/rateWindow.Seconds())
	return r.sum / (rateWindow.Seconds() * covered)
}
