package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// settleReplyTimeout limits how long a home waits for a settlement to become
// durable. It is below the 250 ms for which the entry daemon waits for the reply.
// Without a reply, the entry daemon would treat a home whose table is down as
// unreachable and close the connection, on which other reservations are pending.
const settleReplyTimeout = 240 * time.Millisecond

// emptyResult is the result of a call that returns no value.
type emptyResult struct{}

// dispatch runs the handler of one call. Its errors are *jsonrpc2.Error.
func (s *Server) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	switch {
	case req.Method == methodReserve && s.opt.Authority != nil:
		return handle(req, func(in home.ReserveRequest) (home.ReserveReply, error) {
			return s.opt.Authority.Reserve(ctx, in)
		})
	case req.Method == methodSettle && s.opt.Authority != nil:
		return handle(req, func(in home.SettleRequest) (home.SettleReply, error) {
			ctx, cancel := context.WithTimeout(ctx, settleReplyTimeout)
			defer cancel()
			return s.opt.Authority.Settle(ctx, in)
		})
	case req.Method == methodBundle && s.opt.OnBundle != nil:
		return handle(req, func(in json.RawMessage) (emptyResult, error) {
			return emptyResult{}, s.opt.OnBundle(in)
		})
	case req.Method == methodAttempts && s.opt.OnAttempts != nil:
		return handle(req, func(in AttemptsRequest) (AttemptsReply, error) {
			return s.opt.OnAttempts(ctx, in)
		})
	case req.Method == methodHello && s.opt.OnHello != nil:
		return handle(req, func(in Hello) (Hello, error) {
			return s.opt.OnHello(in), nil
		})
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method not served: " + req.Method}
}

// handle decodes the parameters of req and calls f.
func handle[In, Out any](req *jsonrpc2.Request, f func(In) (Out, error)) (any, error) {
	var in In
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, &in); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	out, err := f(in)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeHandlerError, Message: err.Error()}
	}
	return out, nil
}
