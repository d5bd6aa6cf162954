package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/alexedwards/flow"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Paths of the API.
const (
	chatPath       = "/v1/chat/completions"
	servicePattern = "/v1/services/:service/..."
)

// Limits of the HTTP server.
const (
	maxHeaderBytes    = 16 << 10         // the API's headers take less than 1 KB
	readHeaderTimeout = 10 * time.Second // a slower caller is taken as stuck
	keepAliveTimeout  = 2 * time.Minute  // longer than the idle time of usual load balancers
)

// Server is the callers' API. It is an http.Handler.
type Server struct {
	opts          Options
	mux           *flow.Mux
	inflight      *inflight
	streamReaders *streamReaders
	outbox        *Outbox
}

// New returns a server. It returns an error if a part is missing. Close ends
// its background work.
func New(opts Options) (*Server, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	s := &Server{
		opts:          opts,
		inflight:      newInflight(),
		streamReaders: newStreamReaders(),
		outbox:        NewOutbox(opts.Authorities, opts.MaxPending, opts.Metrics, opts.Logger),
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

// HTTPServer returns an http.Server for the API with its header limits set.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
	}
}

// BeginShutdown refuses new requests with ShuttingDown from now on.
func (s *Server) BeginShutdown() { s.inflight.close() }

// AwaitRequests waits until all requests have ended. BeginShutdown must come
// first. It returns the error of ctx if that ends earlier.
func (s *Server) AwaitRequests(ctx context.Context) error { return s.inflight.wait(ctx) }

// AwaitSettlements waits until the settlements of ended requests are durable.
// It returns the error of ctx if that ends earlier.
func (s *Server) AwaitSettlements(ctx context.Context) error { return s.outbox.Drain(ctx) }

// Pending returns the number of settlements that are not known to be durable.
func (s *Server) Pending() int { return s.outbox.Pending() }

// Close ends the resubmission of settlements.
func (s *Server) Close() { s.outbox.Close() }

// handle returns the handler of one path. Admit checks what is particular to it.
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

// refuseRoute answers requests that match no route.
func (s *Server) refuseRoute(status int, message string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		refusal := verdict.New(verdict.NotRun, verdict.BadRequest, "%s", message)
		s.opts.Metrics.Refused(refusal)
		writeRefusal(w, status, refusal, newRequestID())
	}
}
