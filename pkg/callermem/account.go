package callermem

import (
	"math"
	"sync"
	"time"
)

// Account counts the memory held for callers. It is safe for concurrent use.
type Account struct {
	limits  Limits
	refused func(Cause) // called without the mutex

	mu         sync.Mutex
	used       int64
	byKind     [kinds]int64
	byAddress  map[string]int64 // heads, bodies and responses
	byCustomer map[string]int64 // bodies and responses
	incomplete map[*Body]struct{}
	sweptAt    time.Time
}

// New returns an account. The limits must have passed CheckAndSetDefaults. refused is called
// whenever memory is refused or taken back.
func New(l Limits, refused func(Cause)) *Account {
	return &Account{limits: l, refused: refused, byAddress: make(map[string]int64), byCustomer: make(map[string]int64), incomplete: make(map[*Body]struct{})}
}

// Used returns the memory in use, in bytes.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Cap returns the memory that may be in use, in bytes. Connections are counted
// without being refused, and responses may exceed it by overrunShare.
func (a *Account) Cap() int64 {
	if a.limits.Bytes == 0 {
		return math.MaxInt64
	}
	return a.limits.Bytes
}

// UsedBy returns the memory in use for one kind, in bytes.
func (a *Account) UsedBy(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byKind[k]
}

// Add counts n more bytes, fewer if n is negative, that have a limit elsewhere and are not
// refused here.
func (a *Account) Add(k Kind, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(k, n)
}

// count counts n more bytes. The caller holds the mutex.
func (a *Account) count(k Kind, n int64) {
	a.used += n
	a.byKind[k] += n
}

// check returns why a holder must not use n more bytes, "" if it may. The caller holds the
// mutex.
func (a *Account) check(h *holder, n int64) Cause {
	if a.limits.Bytes == 0 {
		return ""
	}
	free := float64(a.limits.Bytes - a.used - n)
	large := h.bytes+n > OrdinaryBytes
	switch {
	case free < 0:
		return Full
	case large && float64(h.bytes+n) > connectionShare*free:
		return ConnectionShare
	case h.address != "" && a.aboveShare(a.byAddress[h.address]+n, free, large):
		return AddressShare
	case h.customer != "" && a.aboveShare(a.byCustomer[h.customer]+n, free, large):
		return CustomerShare
	}
	return ""
}

// aboveShare reports whether an address or customer must not use that many bytes, for a large
// request or an ordinary one.
func (a *Account) aboveShare(bytes int64, free float64, large bool) bool {
	share := float64(groupShare)
	if large {
		share = largeGroupShare
	}
	return bytes > smallGroupBytes && float64(bytes) > share*(free-reserveShare*float64(a.limits.Bytes))
}

// resize changes what a holder uses to size bytes. It returns an *Error if that is more than
// it may use.
func (a *Account) resize(h *holder, size int64, now time.Time) error {
	cause, expired := a.tryResize(h, size, now)
	a.report(SlowBody, expired)
	if cause != "" {
		a.report(cause, 1)
		return &Error{Cause: cause}
	}
	return nil
}

func (a *Account) tryResize(h *holder, size int64, now time.Time) (refused Cause, expired int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := size - h.bytes
	if n > 0 {
		if a.scarce() {
			expired = a.sweep(now)
		}
		if cause := a.check(h, n); cause != "" {
			return cause, expired
		}
	}
	h.bytes = size
	a.count(h.kind, n)
	addTo(a.byAddress, h.address, n)
	addTo(a.byCustomer, h.customer, n)
	return "", expired
}

// addTo adds n to the bytes of a group, which is removed once it uses none.
func addTo(groups map[string]int64, name string, n int64) {
	if name == "" {
		return
	}
	if groups[name] += n; groups[name] == 0 {
		delete(groups, name)
	}
}

// scarce reports whether incomplete bodies must make progress. The caller holds the mutex.
func (a *Account) scarce() bool {
	return a.limits.Bytes > 0 && float64(a.used) > pressureShare*float64(a.limits.Bytes)
}

// Scarce reports whether more than half of the memory is in use, so that callers must make
// progress.
func (a *Account) Scarce() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scarce()
}

// ExpireSlow ends the incomplete bodies that make no progress. It is called when connections
// are scarce; the account itself does it when memory is.
func (a *Account) ExpireSlow(now time.Time) {
	a.mu.Lock()
	expired := a.sweep(now)
	a.mu.Unlock()
	a.report(SlowBody, expired)
}

// sweep ends the incomplete bodies that make no progress and returns their number. The caller
// holds the mutex.
func (a *Account) sweep(now time.Time) int {
	if now.Sub(a.sweptAt) < sweepInterval {
		return 0
	}
	a.sweptAt = now
	expired := 0
	for b := range a.incomplete {
		if !b.slow(now, a.limits) {
			continue
		}
		if !b.expire() {
			b.startWindow(now)
			continue
		}
		delete(a.incomplete, b)
		b.expired = true
		expired++
	}
	return expired
}

func (a *Account) report(c Cause, times int) {
	for range times {
		a.refused(c)
	}
}
