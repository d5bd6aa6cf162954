package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

// handler implements jsonrpc2.Handler for one connection.
type handler struct {
	server *Server
	calls  *callGroup
}

// Handle implements jsonrpc2.Handler. It starts the call without waiting for it.
// The context of the call does not end with the connection, since the effect of
// the call may be needed even if the reply cannot be delivered.
func (h *handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.calls.start(func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handlerTimeout)
		defer cancel()
		dispatch := func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			return h.server.dispatch(callCtx, req)
		}
		jsonrpc2.HandlerWithError(dispatch).SuppressErrClosed().Handle(ctx, conn, req)
	})
}
