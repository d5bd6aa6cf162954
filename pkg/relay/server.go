package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/peppertrail/peppertrail/pkg/idle"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// serveTimeout bounds the handling of a call from another host, for reads of the store
	// the time without data. For a feed call, the time that it waits for a change is added.
	serveTimeout = 1500 * time.Millisecond
	// maxServeTime bounds a read of the store whose reply arrives slowly.
	maxServeTime = 10 * time.Second
)

// Server serves calls of other hosts and passes calls for the store on to it.
type Server struct {
	rows    storage.Rows
	log     *log.Logger
	methods map[string]MethodHandler
}

// MethodHandler handles calls of other hosts that are not for the store. If err is
// storage.ErrNotApplied, the caller receives it as such.
type MethodHandler func(ctx context.Context, params json.RawMessage) (result any, err error)

// Handle registers a method. It must be called before Serve.
func (s *Server) Handle(method string, m MethodHandler) { s.methods[method] = m }

// NewServer returns a server. rows must call the store directly, not through
// another host.
func NewServer(rows storage.Rows, logger *log.Logger) *Server {
	return &Server{rows: rows, log: logger, methods: make(map[string]MethodHandler)}
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // unblocks Accept
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept for relay: %w", err)
		}
		jsonrpc2.NewConn(ctx, newMessageStream(conn, s.log, nil), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle)), jsonrpc2.SetLogger(discardLogger{}))
	}
}

// discardLogger drops the log messages of jsonrpc2; the errors of calls are returned
// to their callers.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	result, err := s.callSafely(ctx, r.Method, *r.Params)
	if err != nil {
		s.log.Debug().Str("method", r.Method).Err(err).Msg("Call from another host failed. The error is returned to that host.")
		return nil, toWire(err)
	}
	return result, nil
}

// callSafely is call with an error in place of a panic: an unexpected message must not end
// the process.
func (s *Server) callSafely(ctx context.Context, method string, params json.RawMessage) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error().Str("method", method).Str("panic", fmt.Sprint(p)).Str("stack", string(debug.Stack())).Msg("Call from another host failed unexpectedly. The process goes on.")
			err = fmt.Errorf("%s failed unexpectedly", method)
		}
	}()
	return s.call(ctx, method, params)
}

func (s *Server) call(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodTransact:
		var txn storage.RowTxn
		if err := json.Unmarshal(params, &txn); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, serveTimeout)
		defer cancel()
		return s.rows.Transact(ctx, txn)
	case methodFeed:
		var p feedParams
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, err
		}
		ctx, cancel := idle.WithTimeouts(ctx, p.Wait+serveTimeout, maxServeTime)
		defer cancel()
		return s.rows.Feed(ctx, p.Table, storage.Version{Era: p.Era, Number: p.Since}, p.Wait)
	}
	if m, ok := s.methods[method]; ok {
		ctx, cancel := context.WithTimeout(ctx, serveTimeout)
		defer cancel()
		return m(ctx, params)
	}
	var p rangeParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	ctx, cancel := idle.WithTimeouts(ctx, serveTimeout, maxServeTime)
	defer cancel()
	switch method {
	case methodRange:
		return s.rows.Range(ctx, p.Table, p.Part, p.From)
	case methodParts:
		return s.rows.Parts(ctx, p.Table)
	}
	return nil, fmt.Errorf("%s%q", unknownMethodText, method)
}
