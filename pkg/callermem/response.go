package callermem

import "time"

const (
	// RequestBytes is what an open request holds besides its body: buffers of the connection to
	// its target, and stacks.
	RequestBytes = 16 << 10
	// overrunShare is the part of the cap by which responses may exceed it. Their requests have
	// been admitted below the cap and may have run.
	overrunShare = 0.1
)

// Response is the memory of an open request for what its targets answer. It is safe for
// concurrent use.
type Response struct {
	account *Account
	holder  holder
	closed  bool // guarded by the mutex of the account
}

// Admit counts a new request, which has not been sent to a target, also towards its address and
// customer. It returns an *Error if the cap is reached or its address or customer is above its
// share: what is answered to it could take more memory, and can no longer be refused without
// losing the work of a target.
func (a *Account) Admit(address, customer string, now time.Time) (*Response, error) {
	r, cause, expired := a.tryAdmit(address, customer, now)
	a.report(SlowBody, expired)
	if cause != "" {
		a.report(cause, 1)
		return nil, &Error{Cause: cause}
	}
	return r, nil
}

func (a *Account) tryAdmit(address, customer string, now time.Time) (r *Response, refused Cause, expired int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.scarce() {
		expired = a.sweep(now)
	}
	r = &Response{account: a, holder: holder{kind: Responses, address: address, customer: customer}}
	if cause := a.check(&r.holder, RequestBytes); cause != "" {
		return nil, cause, expired
	}
	a.addResponse(&r.holder, RequestBytes)
	return r, "", expired
}

// Grow counts n more bytes, fewer if n is negative. It reports whether they may be used; more
// are refused only if responses have used up what they may take beyond the cap.
func (r *Response) Grow(n int64) bool {
	a := r.account
	a.mu.Lock()
	refused := n > 0 && a.limits.Bytes > 0 && float64(a.used+n) > (1+overrunShare)*float64(a.limits.Bytes)
	if !refused {
		a.addResponse(&r.holder, n)
	}
	a.mu.Unlock()
	if refused {
		a.report(Full, 1)
	}
	return !refused
}

// addResponse counts n more bytes. The caller holds the mutex.
func (a *Account) addResponse(h *holder, n int64) {
	h.bytes += n
	a.count(h.kind, n)
	addTo(a.byAddress, h.address, n)
	addTo(a.byCustomer, h.customer, n)
}

// Release ends the counting.
func (r *Response) Release() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	r.account.addResponse(&r.holder, -r.holder.bytes)
}
