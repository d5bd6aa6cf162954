package peer

import (
	"context"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Errors of a Client.
var (
	// ErrUnreachable means that the peer did not reply in time. It may have
	// received the call and may still execute it.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRemote means that the peer replied with an error.
	ErrRemote = errors.New("peer returned an error")
	// ErrClosed means that the client was closed.
	ErrClosed = errors.New("peer client closed")
)

// callError classifies the error of a call. ctx is the caller's context: if it
// ended, the error is its error and not ErrUnreachable.
func callError(ctx context.Context, method, addr string, err error) error {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return fmt.Errorf("%w: %s at %s: %s", ErrRemote, method, addr, remote.Message)
	case errors.Is(err, ErrClosed):
		return fmt.Errorf("%s at %s: %w", method, addr, err)
	case ctx.Err() != nil:
		return fmt.Errorf("%s at %s: %w", method, addr, ctx.Err())
	}
	return fmt.Errorf("%w: %s at %s: %w", ErrUnreachable, method, addr, err)
}
