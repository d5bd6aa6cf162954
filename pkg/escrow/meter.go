package escrow

import (
	"math"
	"time"
)

// Time constants of the demand meter. A rise counts by half as soon as it is
// seen; single large requests would otherwise pass for a lasting demand.
const (
	fastDecay  = 2 * time.Second
	slowDecay  = 6 * time.Second
	usualDecay = 20 * time.Second
	fastWeight = 0.5
	// typicalWeight is the weight of a reservation in the mean.
	typicalWeight = 0.05
)

// meter measures tokens per second.
type meter struct {
	fast, slow float64
	usual      float64
	peak       float64 // largest reservation, decaying
	typical    float64 // mean reservation
	at         time.Duration
}

// reserved notes the size of a reservation.
func (m *meter) reserved(now time.Duration, tokens int64) {
	m.decay(now)
	m.peak = max(m.peak, float64(tokens))
	if m.typical == 0 {
		m.typical = float64(tokens)
	}
	m.typical += typicalWeight * (float64(tokens) - m.typical)
}

func (m *meter) add(now time.Duration, tokens int64) {
	m.decay(now)
	m.fast += float64(tokens) / fastDecay.Seconds()
	m.slow += float64(tokens) / slowDecay.Seconds()
	m.usual += float64(tokens) / usualDecay.Seconds()
}

func (m *meter) rate(now time.Duration) float64 {
	m.decay(now)
	return max(fastWeight*m.fast, m.slow)
}

func (m *meter) decay(now time.Duration) {
	passed := (now - m.at).Seconds()
	if passed <= 0 {
		return
	}
	m.at = now
	m.fast *= math.Exp(-passed / fastDecay.Seconds())
	m.slow *= math.Exp(-passed / slowDecay.Seconds())
	m.usual *= math.Exp(-passed / usualDecay.Seconds())
	m.peak *= math.Exp(-passed / slowDecay.Seconds())
}
