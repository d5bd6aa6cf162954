package peer

import (
	"context"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Errors of a Client.
var (
	// ErrUnreachable means that the peer did not answer in time. It may have
	// received the call and may still act on it.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = errors.New("peer returned an error")
	// ErrClosed means that the client was closed.
	ErrClosed = errors.New("peer client closed")
)

// callError classifies err of a call with the caller's context ctx. The error
// of a caller that gave up does not blame the peer.
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
