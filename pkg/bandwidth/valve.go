package bandwidth

import (
	"time"
)

const (
	// closeAtShare and openAtShare are the shares of the link's rate at which new connections
	// are refused and taken again. Bodies of 50 KB take 40 ms each on a link of 10 Mbit/s; above
	// two thirds of its rate, short requests wait for 100 ms and more behind them.
	closeAtShare = 0.65
	openAtShare  = 0.5
	// riseWindow and fallWindow are the time constants of the moving averages of the rates.
	// Demand of several times the link's rate has to be noticed before it has queued for long;
	// bodies come in bursts, so that a pause between two does not show that the link has room.
	riseWindow = 60 * time.Millisecond
	fallWindow = 150 * time.Millisecond
	// maxPending is how long bytes that were counted in one step may have taken to cross the
	// link. A body of 63 KB, the largest ordinary one, takes 50 ms at 10 Mbit/s.
	maxPending = 100 * time.Millisecond
)

// BytesPerMbit converts the rate of a link.
const BytesPerMbit = 1_000_000 / 8

// Valve decides whether a host takes new connections of callers, by the use of its link. While it
// does not, callers connect to other hosts, and the bodies of their requests do not cross the
// link. It is not safe for concurrent use.
type Valve struct {
	rate           float64 // of the link in each direction, bytes per second
	received, sent direction
	at             time.Time // of the last call of Observe; zero: none
	closed         bool
}

// NewValve returns an open valve for a link of linkMbps Mbit/s in each direction, nil if the rate
// is not known (0).
func NewValve(linkMbps float64) *Valve {
	if linkMbps <= 0 {
		return nil
	}
	return &Valve{rate: linkMbps * BytesPerMbit}
}

// SetRate sets the rate of the link, in bytes per second.
func (v *Valve) SetRate(rate float64) { v.rate = rate }

// Observe takes the bytes received and sent in total until now, and reports whether new
// connections are to be refused.
func (v *Valve) Observe(received, sent int64, now time.Time) (closed bool) {
	elapsed := now.Sub(v.at).Seconds()
	if !v.at.IsZero() && elapsed > 0 {
		v.received.observe(received, v.rate, elapsed)
		v.sent.observe(sent, v.rate, elapsed)
	}
	v.at, v.received.total, v.sent.total = now, received, sent
	switch {
	case v.Saturated():
		v.closed = true
	case v.Use() <= openAtShare:
		v.closed = false
	}
	return v.closed
}

// Saturated reports whether the use is at or above the threshold at which connections are refused.
func (v *Valve) Saturated() bool { return v.Use() >= closeAtShare }

// Use returns the share of the link's rate that was in use lately, in the busier direction.
func (v *Valve) Use() float64 { return max(v.received.average, v.sent.average) / v.rate }
