package bandwidth

import "sync/atomic"

// Meter counts the bytes that a host receives and sends, on any of its connections. The zero
// value has counted none; a nil Meter counts nothing. It is safe for concurrent use.
type Meter struct {
	received, sent atomic.Int64 // bytes
}

// AddReceived counts n received bytes.
func (m *Meter) AddReceived(n int) {
	if m != nil {
		m.received.Add(int64(n))
	}
}

// AddSent counts n sent bytes.
func (m *Meter) AddSent(n int) {
	if m != nil {
		m.sent.Add(int64(n))
	}
}

// Totals returns the bytes received and sent so far.
func (m *Meter) Totals() (received, sent int64) { return m.received.Load(), m.sent.Load() }
