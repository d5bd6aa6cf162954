package callermem

import (
	"sync/atomic"
	"time"
)

// Body is the memory of the body of one request. Its methods are not safe for concurrent use.
type Body struct {
	account  *Account
	holder   holder
	expire   func() bool
	received atomic.Int64 // bytes received

	// The mutex of the account guards the fields below.
	expired        bool
	windowStart    time.Time // from which on the rate is measured
	windowReceived int64     // bytes received before windowStart
}

// NewBody returns an incomplete body that holds no memory yet. address and customer may be
// empty, which means that no share applies. If the body makes no progress while memory is
// scarce, expire is called. It must make the reader of the body give up, or return false if
// bytes of the body wait to be read, as the host itself is slow then. It must not call the
// account.
func (a *Account) NewBody(address, customer string, now time.Time, expire func() bool) *Body {
	b := &Body{account: a, holder: holder{kind: Bodies, address: address, customer: customer}, expire: expire, windowStart: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incomplete[b] = struct{}{}
	return b
}

// Resize counts the size of the buffers of the body. It returns an *Error if they must not
// be that large.
func (b *Body) Resize(size int64, now time.Time) error { return b.account.resize(&b.holder, size, now) }

// Received counts bytes that have arrived.
func (b *Body) Received(n int) { b.received.Add(int64(n)) }

// Complete ends the supervision of the progress. It reports whether the body has expired before.
func (b *Body) Complete() (expired bool) {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	delete(b.account.incomplete, b)
	return b.expired
}

// Release ends the counting.
func (b *Body) Release() {
	b.Complete()
	_ = b.Resize(0, time.Time{}) // less is never refused
}

// slow reports whether the body makes no progress. The caller holds the mutex of the account.
func (b *Body) slow(now time.Time, l Limits) bool {
	elapsed := now.Sub(b.windowStart)
	if elapsed < l.BodyWindow {
		return false
	}
	received := b.received.Load()
	if float64(received-b.windowReceived) < elapsed.Seconds()*float64(l.MinBodyRate) {
		return true
	}
	b.startWindow(now)
	return false
}

// startWindow starts to measure the rate again. The caller holds the mutex of the account.
func (b *Body) startWindow(now time.Time) {
	b.windowStart, b.windowReceived = now, b.received.Load()
}
