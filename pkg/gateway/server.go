package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/alexedwards/flow"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Routes of the API.
const (
	chatPath       = "/v1/chat/completions"
	servicePattern = "/v1/services/:service/..."
)

// Limits of the HTTP server.
const (
	maxHeaderBytes    = 16 << 10         // the API's headers take less than 1 KB
	readHeaderTimeout = 10 * time.Second // a caller that takes longer is disconnected
	keepAliveTimeout  = 2 * time.Minute  // longer than the idle timeout of usual load balancers
)

// Server is an http.Handler that serves the callers' API.
type Server struct {
	opts          Options
	mux           *flow.Mux
	inflight      *inflight
	streamReaders *streamReaders
	outbox        *Outbox
}

// New returns a server. It returns an error if a required dependency is missing. Close
// stops the goroutines of the server.
func New(opts Options) (*Server, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	s := &Server{
		opts:          opts,
		inflight:      newInflight(),
		streamReaders: newStreamReaders(),
		outbox:        NewOutbox(opts.Authorities, opts.MaxPendingSettlements, opts.Metrics, opts.Logger),
	}
	s.mux = s.routes()
	return s, nil
}

// routes returns the router of the API.
func (s *Server) routes() *flow.Mux {
	mux := flow.New()
	mux.NotFound = s.refuseRoute(http.StatusNotFound, "no such path; there are "+chatPath+" and /v1/services/<service>/<path>")
	mux.MethodNotAllowed = s.refuseRoute(http.StatusMethodNotAllowed, "method not allowed on this path")
	mux.HandleFunc(chatPath, s.handle(admitChat), http.MethodPost)
	mux.HandleFunc(servicePattern, s.handle(admitPlain),
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions)
	return mux
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// HTTPServer returns an http.Server for the API with limits for headers and idle
// connections.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
	}
}

// BeginShutdown makes the server refuse new requests with reason ShuttingDown.
func (s *Server) BeginShutdown() { s.inflight.close() }

// AwaitRequests waits until all requests have ended. BeginShutdown must be called
// first. It returns the error of ctx if ctx ends earlier.
func (s *Server) AwaitRequests(ctx context.Context) error { return s.inflight.wait(ctx) }

// AwaitSettlements waits until the settlements of ended requests are durable.
// It returns the error of ctx if ctx ends earlier.
func (s *Server) AwaitSettlements(ctx context.Context) error { return s.outbox.Drain(ctx) }

// PendingSettlements returns the number of settlements that are not known to be durable.
func (s *Server) PendingSettlements() int { return s.outbox.Pending() }

// Close stops submitting settlements.
func (s *Server) Close() { s.outbox.Close() }

// handle returns the handler of one route. It calls admit to validate the part of the
// request that depends on the route.
func (s *Server) handle(admit admitFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := newExchange(s, w, r)
		req, refusal := x.admit(admit)
		if refusal != nil {
			x.refuse(refusal)
			return
		}
		x.req = req
		if !s.inflight.begin() {
			x.refuse(verdict.New(verdict.NotRun, verdict.ShuttingDown, "this host is shutting down").WithRetryAfter(defaultRetryAfter))
			return
		}
		defer s.inflight.end()
		x.serve()
	}
}

// refuseRoute returns a handler that refuses requests that match no route.
func (s *Server) refuseRoute(status int, message string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		refusal := verdict.New(verdict.NotRun, verdict.BadRequest, "%s", message)
		s.opts.Metrics.Refused(refusal)
		writeRefusal(w, status, refusal, newRequestID())
	}
}
