package escrow

import (
	"math"
	"time"
)

// Time constants of the moving averages of demand. The short average follows a
// rise at once. It is multiplied by shortWeight, since a single large request
// would otherwise be taken for lasting demand.
const (
	shortDecay  = 2 * time.Second
	mediumDecay = 6 * time.Second
	longDecay   = 20 * time.Second
	shortWeight = 0.5
	// minMeterAge is the age that correctForAge assumes for a younger meter. It
	// keeps the first requests from being measured as high demand.
	minMeterAge = 2 * time.Second
	// meanRequestWeight is the weight of a new reservation in the mean size of
	// a reservation.
	meanRequestWeight = 0.05
)

// demandMeter measures demand in tokens per second, as exponentially decaying
// averages.
type demandMeter struct {
	short, medium        float64       // tokens per second, averaged over shortDecay and mediumDecay
	long                 float64       // tokens per second, averaged over longDecay
	longVariance         float64       // estimated variance of long that is due to chance, (tokens per second)²
	peakRequest          float64       // tokens of the largest reservation, decaying with time
	requests             float64       // number of reservations, decaying with longDecay
	meanRequest          float64       // mean size of a reservation in tokens
	startedAt, updatedAt time.Duration // first and last update of the averages
}

// recordReservation records the size of a reservation.
func (m *demandMeter) recordReservation(now time.Duration, tokens int64) {
	m.decay(now)
	m.peakRequest = max(m.peakRequest, float64(tokens))
	if m.meanRequest == 0 {
		m.meanRequest = float64(tokens)
	}
	m.meanRequest += meanRequestWeight * (float64(tokens) - m.meanRequest)
}

// recordSpent records tokens when they are reserved. A meter that waited for the
// settlement would be late by the duration of a request.
func (m *demandMeter) recordSpent(now time.Duration, tokens int64) {
	m.decay(now)
	m.short += float64(tokens) / shortDecay.Seconds()
	m.medium += float64(tokens) / mediumDecay.Seconds()
	increase := float64(tokens) / longDecay.Seconds()
	m.long += increase
	m.longVariance += increase * increase
	m.requests++
}

// correctSpent replaces the tokens that a request has reserved by those that it has
// spent. It takes the difference back in full, without decay, so that the mean equals the
// tokens spent.
func (m *demandMeter) correctSpent(now time.Duration, reserved, spent int64) {
	m.decay(now)
	unspent := float64(reserved - spent)
	m.short = max(0, m.short-unspent/shortDecay.Seconds())
	m.medium = max(0, m.medium-unspent/mediumDecay.Seconds())
	m.long = max(0, m.long-unspent/longDecay.Seconds())
	squares := float64(reserved)*float64(reserved) - float64(spent)*float64(spent)
	m.longVariance = max(0, m.longVariance-squares/(longDecay.Seconds()*longDecay.Seconds()))
}

// recentDemand returns the demand of the last seconds, in tokens per second.
func (m *demandMeter) recentDemand(now time.Duration) float64 {
	m.decay(now)
	return max(shortWeight*m.correctForAge(m.short, shortDecay), m.correctForAge(m.medium, mediumDecay))
}

// longTermDemand returns the demand over the long time constant, in tokens per
// second.
func (m *demandMeter) longTermDemand() float64 { return m.correctForAge(m.long, longDecay) }

// longTermDemandSquare returns an estimate of the square of the true long-term
// demand in (tokens per second)², without longVariance. Summed over many hosts
// it approximates the sum of the squares of their true demands.
func (m *demandMeter) longTermDemandSquare() float64 {
	factor := m.correctForAge(1, longDecay)
	return factor * factor * (m.long*m.long - m.longVariance)
}

// correctForAge corrects a decaying average for the time before the meter
// started, which the average would otherwise count as time without demand.
func (m *demandMeter) correctForAge(average float64, decay time.Duration) float64 {
	age := max(m.updatedAt-m.startedAt, minMeterAge)
	return average / (1 - math.Exp(-age.Seconds()/decay.Seconds()))
}

func (m *demandMeter) decay(now time.Duration) {
	if m.updatedAt == 0 {
		m.startedAt, m.updatedAt = now, now
	}
	elapsed := (now - m.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	m.updatedAt = now
	m.short *= math.Exp(-elapsed / shortDecay.Seconds())
	m.medium *= math.Exp(-elapsed / mediumDecay.Seconds())
	m.long *= math.Exp(-elapsed / longDecay.Seconds())
	m.requests *= math.Exp(-elapsed / longDecay.Seconds())
	m.longVariance *= math.Exp(-2 * elapsed / longDecay.Seconds())
	m.peakRequest *= math.Exp(-elapsed / mediumDecay.Seconds())
}

// recentRequests returns the number of reservations within about longDecay.
func (m *demandMeter) recentRequests(now time.Duration) float64 {
	m.decay(now)
	return m.requests
}
