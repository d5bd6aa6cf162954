package admin

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// retryAfter is the delay after which an operator may repeat a call while the
// platform is unavailable.
const retryAfter = 2 * time.Second

// toAPIError converts any error to the Error that is sent to the operator.
func toAPIError(err error) *Error {
	var apiError *Error
	if errors.As(err, &apiError) {
		return apiError
	}
	if e := bundleError(err); e != nil {
		return e
	}
	var auth *access.AuthError
	switch {
	case errors.As(err, &auth):
		return errorf(Unauthorized, "%s", auth.Message)
	case errors.Is(err, ErrUnknownTarget):
		return errorf(NotFound, "%v", err)
	case errors.Is(err, storage.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return unavailableError(err)
	default:
		return errorf(Internal, "%v", err)
	}
}

// bundleError converts the errors of package bundle, and returns nil for others.
func bundleError(err error) *Error {
	var check *bundle.CheckError
	var conflict *bundle.ConflictError
	switch {
	case errors.As(err, &check):
		e := errorf(BadRequest, "the bundle has %d problems:\n%v", len(check.Problems), check)
		e.Problems = check.Problems
		return e
	case errors.As(err, &conflict):
		e := errorf(Conflict, "%v", conflict)
		e.InForce = conflict.InForce
		return e
	case errors.Is(err, bundle.ErrSignature):
		return errorf(Forbidden, "%v", err)
	case errors.Is(err, bundle.ErrBusy):
		return errorf(Conflict, "%v", err)
	case errors.Is(err, bundle.ErrNoBundle), errors.Is(err, bundle.ErrNoVersion), errors.Is(err, bundle.ErrNoProposal):
		return errorf(NotFound, "%v", err)
	}
	return nil
}

func unavailableError(err error) *Error {
	e := errorf(Unavailable, "the platform does not answer; if the call changes something, its outcome is unknown: repeat the same call, it is not applied twice (%v)", err)
	e.RetryAfter = retryAfter
	return e
}
