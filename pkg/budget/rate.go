package budget

import (
	"math"
	"time"
)

// rateWindow is the time constant of the spend rate. Shorter windows made the
// grant size follow single large requests.
const rateWindow = 20 * time.Second

// minRateAge is the shortest period that a rate is taken over. Without it the
// first request would count as an endless stream of its like.
const minRateAge = 2 * time.Second

// rate is an exponentially decayed spend rate.
type rate struct {
	sum   float64 // tokens, decayed with rateWindow
	seen  time.Time
	began time.Time // first spend
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
	if r.began.IsZero() {
		r.began = now
	}
	r.sum += float64(tokens)
}

// perSecond returns the rate in tokens per second. The decayed sum of a spend
// that began recently is divided by the part of the window that it has covered;
// divided by the whole window it would show 40% of the rate after 10 s.
func (r *rate) perSecond(now time.Time) float64 {
	if r.began.IsZero() {
		return 0
	}
	r.decay(now)
	age := max(now.Sub(r.began), minRateAge)
	covered := 1 - math.Exp(-age.Seconds()/rateWindow.Seconds())
	return r.sum / (rateWindow.Seconds() * covered)
}
