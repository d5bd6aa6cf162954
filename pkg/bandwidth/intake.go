package bandwidth

import (
	"sync"
	"time"
)

const (
	// intakeFullTime and intakeRoomTime are the times that the link needs for the bytes that
	// accepted connections are expected to send, at which no further connection is accepted and
	// at which connections are accepted again. A call to the store, whose request and response may
	// both wait, ends 800 ms after its response is due.
	intakeFullTime = 250 * time.Millisecond
	intakeRoomTime = 100 * time.Millisecond
	// initialRequestBytes is the expected size of a request until some are known.
	initialRequestBytes = 4 << 10
	// requestBytesWeight is the weight of the last request in the expected size.
	requestBytesWeight = 1.0 / 16
	// maxExpectedBytes bounds the bytes that one request counts, so that clients who announce
	// bodies and do not send them close the host to others no longer than if they sent them.
	maxExpectedBytes = 128 << 10
)

// Intake decides whether a host accepts further connections, by the bytes which those that it has
// accepted will send. The use of the link shows these bytes only once they have crossed it.
//
// It is a queue that the link drains at its rate: a connection adds the expected size of a
// request, which is corrected once the head of its request has arrived. Bytes that do not come
// in the time that the link needs for them are not waited for.
//
// A nil Intake has always room. It is safe for concurrent use.
type Intake struct {
	mu       sync.Mutex
	rate     float64   // of the link, bytes per second
	queued   float64   // bytes that are expected
	at       time.Time // time of queued
	expected float64   // bytes of a request
	full     bool
}

// NewIntake returns an empty intake for a link of linkMbps Mbit/s, nil if the rate is not known (0).
func NewIntake(linkMbps float64) *Intake {
	if linkMbps <= 0 {
		return nil
	}
	return &Intake{rate: linkMbps * BytesPerMbit, expected: initialRequestBytes}
}

// SetRate sets the rate of the link, in bytes per second.
func (i *Intake) SetRate(rate float64) {
	if i == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rate = rate
}

// Accepted records an accepted connection. It returns the bytes that are expected of it, which its
// first call of Announced takes.
func (i *Intake) Accepted(now time.Time) (expected float64) {
	if i == nil {
		return 0
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.drain(now)
	i.queued += i.expected
	return i.expected
}

// Announced records the size of a request whose head has arrived, of which some bytes were
// expected.
func (i *Intake) Announced(size int64, expected float64, now time.Time) {
	if i == nil {
		return
	}
	counted := float64(min(size, maxExpectedBytes))
	i.mu.Lock()
	defer i.mu.Unlock()
	i.drain(now)
	i.queued = max(0, i.queued+counted-expected)
	i.expected += (counted - i.expected) * requestBytesWeight
}

// Full reports whether no further connection is to be accepted.
func (i *Intake) Full(now time.Time) bool {
	if i == nil {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.drain(now)
	switch {
	case i.queued >= i.rate*intakeFullTime.Seconds():
		i.full = true
	case i.queued <= i.rate*intakeRoomTime.Seconds():
		i.full = false
	}
	return i.full
}

// drain removes the bytes that the link has had time for. The caller holds the mutex.
func (i *Intake) drain(now time.Time) {
	if elapsed := now.Sub(i.at); elapsed > 0 {
		i.queued = max(0, i.queued-i.rate*elapsed.Seconds())
		i.at = now
	}
}
