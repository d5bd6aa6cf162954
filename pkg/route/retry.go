package route

import "github.com/peppertrail/peppertrail/pkg/verdict"

// MaxAttempts bounds the dispatches of one request, the first included.
const MaxAttempts = 3

// MayRetry reports whether a request whose attempt failed with v may be
// dispatched again. attempt counts the dispatches so far, from 1. streaming
// means that the caller has received a part of the answer; a second run could
// not continue it. Only an idempotent request may run again after a target
// may have run it.
func MayRetry(v verdict.Verdict, idempotent, streaming bool, attempt int) bool {
	if streaming || attempt >= MaxAttempts {
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
