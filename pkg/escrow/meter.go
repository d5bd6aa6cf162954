package escrow

import (
	"math"
	"time"
)

// Time constants of the demand meter. The larger of both averages counts, so
// that a rise is seen at once and a short pause does not shrink a holding.
const (
	fastDecay = 1 * time.Second
	slowDecay = 6 * time.Second
)

// meter measures tokens per second.
type meter struct {
	fast, slow float64
	at         time.Duration
}

func (m *meter) add(now time.Duration, tokens int64) {
	m.decay(now)
	m.fast += float64(tokens) / fastDecay.Seconds()
	m.slow += float64(tokens) / slowDecay.Seconds()
}

func (m *meter) rate(now time.Duration) float64 {
	m.decay(now)
	return max(m.fast, m.slow)
}

func (m *meter) decay(now time.Duration) {
	passed := (now - m.at).Seconds()
	if passed <= 0 {
		return
	}
	m.at = now
	m.fast *= math.Exp(-passed / fastDecay.Seconds())
	m.slow *= math.Exp(-passed / slowDecay.Seconds())
}
