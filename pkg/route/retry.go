package route

import "github.com/peppertrail/peppertrail/pkg/verdict"

// MaxAttempts is the largest number of dispatches of one request, including the
// first.
const MaxAttempts = 3

// MayRetry reports whether a request whose attempt failed with verdict v may be
// dispatched again. attempt counts the dispatches so far, from 1.
// responseStarted means that the caller has received a part of the response,
// which the response of a second run could not continue. A request that a
// target may have run is dispatched again only if the request is idempotent.
func MayRetry(v verdict.Verdict, idempotent, responseStarted bool, attempt int) bool {
	if responseStarted || attempt >= MaxAttempts {
		return false
	}
	switch v {
	case verdict.NotRun:
		return true
	case verdict.MayHaveRun:
		return idempotent
	default:
		return false
	}
}
