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
	// minMeterAge keeps the first requests from passing for a high demand.
	minMeterAge = 2 * time.Second
	// typicalWeight is the weight of a reservation in the mean.
	typicalWeight = 0.05
)

// meter measures tokens per second.
type meter struct {
	fast, slow float64
	usual      float64
	noise      float64 // variance of usual that comes from few large requests, estimated
	peak       float64 // largest reservation, decaying
	typical    float64 // mean reservation
	start, at  time.Duration
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
	rise := float64(tokens) / usualDecay.Seconds()
	m.usual += rise
	m.noise += rise * rise
}

// rate returns the demand of the last seconds.
func (m *meter) rate(now time.Duration) float64 {
	m.decay(now)
	return max(fastWeight*m.corrected(m.fast, fastDecay), m.corrected(m.slow, slowDecay))
}

// usualRate returns the demand of a longer time.
func (m *meter) usualRate() float64 { return m.corrected(m.usual, usualDecay) }

// usualSquare returns the square of the usual demand without what is chance: the
// sum over many hosts is that of their true demands.
func (m *meter) usualSquare() float64 {
	factor := m.corrected(1, usualDecay)
	return factor * factor * (m.usual*m.usual - m.noise)
}

// corrected makes up for the time before the meter started, which an average
// that decays would count as time without demand.
func (m *meter) corrected(average float64, decay time.Duration) float64 {
	age := max(m.at-m.start, minMeterAge)
	return average / (1 - math.Exp(-age.Seconds()/decay.Seconds()))
}

func (m *meter) decay(now time.Duration) {
	if m.at == 0 {
		m.start, m.at = now, now
	}
	passed := (now - m.at).Seconds()
	if passed <= 0 {
		return
	}
	m.at = now
	m.fast *= math.Exp(-passed / fastDecay.Seconds())
	m.slow *= math.Exp(-passed / slowDecay.Seconds())
	m.usual *= math.Exp(-passed / usualDecay.Seconds())
	m.noise *= math.Exp(-2 * passed / usualDecay.Seconds())
	m.peak *= math.Exp(-passed / slowDecay.Seconds())
}
