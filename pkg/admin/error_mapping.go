package admin

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// retryAfter is how soon an operator may repeat a call in an outage.
const retryAfter = 2 * time.Second

// errorFrom turns any error into the one that the operator sees.
func errorFrom(err error) *Error {
	var own *Error
	if errors.As(err, &own) {
		return own
	}
	if e := bundleError(err); e != nil {
		return e
	}
	var auth *access.AuthError
	switch {
	case errors.As(err, &auth):
		return fail(Unauthorized, "%s", auth.Message)
	case errors.Is(err, ErrUnknownTarget):
		return fail(NotFound, "%v", err)
	case errors.Is(err, storage.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return unavailable(err)
	default:
		return fail(Internal, "%v", err)
	}
}

func bundleError(err error) *Error {
	var check *bundle.CheckError
	var conflict *bundle.ConflictError
	switch {
	case errors.As(err, &check):
		e := fail(BadRequest, "the bundle has %d problems:\n%v", len(check.Problems), check)
		e.Problems = check.Problems
		return e
	case errors.As(err, &conflict):
		e := fail(Conflict, "%v", conflict)
		e.InForce = conflict.InForce
		return e
	case errors.Is(err, bundle.ErrSignature):
		return fail(Forbidden, "%v", err)
	case errors.Is(err, bundle.ErrBusy):
		return fail(Conflict, "%v", err)
	case errors.Is(err, bundle.ErrNoBundle), errors.Is(err, bundle.ErrNoVersion), errors.Is(err, bundle.ErrNoProposal):
		return fail(NotFound, "%v", err)
	}
	return nil
}

func unavailable(err error) *Error {
	e := fail(Unavailable, "the platform does not answer; if the call changes something, its outcome is unknown: repeat the same call, it is not applied twice (%v)", err)
	e.RetryAfter = retryAfter
	return e
}
