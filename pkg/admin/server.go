package admin

import (
	"context"
	"crypto/ed25519"
	"net/http"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// Server answers operator calls under /admin/v1.
type Server struct {
	config   Config
	budgets  *budgetTable
	verifier *access.Verifier
	handler  http.Handler
}

// NewServer returns a server.
func NewServer(config Config) *Server {
	s := &Server{config: config.withDefaults()}
	s.budgets = newBudgetTable(s.config)
	s.verifier = access.NewVerifier(s.config.Now)
	s.handler = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// endpoint answers one authenticated call with a value that marshals to JSON.
type endpoint func(ctx context.Context, operator string, r *http.Request) (any, error)

// authenticated authenticates a call, runs the endpoint and writes the reply.
func (s *Server) authenticated(run endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := s.config.Now()
		ctx, cancel := context.WithTimeout(r.Context(), CallTimeout)
		defer cancel()
		operator, err := s.authenticate(ctx, r)
		var reply any
		if err == nil {
			reply, err = run(ctx, operator, r)
		}
		call := Call{
			Operator: operator,
			Method:   r.Method,
			Path:     r.URL.Path,
			Status:   http.StatusOK,
			Err:      err,
			Duration: s.config.Now().Sub(start),
		}
		if err != nil {
			call.Status = toAPIError(err).Status()
		}
		s.config.OnCall(call)
		if err != nil {
			writeError(w, toAPIError(err))
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

func (s *Server) authenticate(ctx context.Context, r *http.Request) (string, error) {
	trust, err := s.trust(ctx)
	if err != nil {
		return "", err
	}
	return s.verifier.Verify(r, func(operator string) (ed25519.PublicKey, bool) {
		entry, ok := trust.Operator(operator)
		if !ok {
			return nil, false
		}
		key, err := entry.Key()
		return key, err == nil
	})
}

// trust returns the operators who may call the API. If the daemon holds no bundle,
// bootstrap keys are accepted only after the table has confirmed that no bundle is
// in force: a daemon that starts during an outage cannot know whether the bootstrap
// keys are still valid.
func (s *Server) trust(ctx context.Context) (bundle.Trust, error) {
	if index := s.config.Watcher.Current(); index != nil {
		return bundle.TrustOf(*index.Bundle), nil
	}
	return s.config.Store.Trust(ctx)
}

// currentBundle returns the bundle that this daemon holds. If it holds none, it
// reads the bundle in force from the table.
func (s *Server) currentBundle(ctx context.Context) (*bundle.Bundle, error) {
	if index := s.config.Watcher.Current(); index != nil {
		return index.Bundle, nil
	}
	accepted, err := s.config.Store.Current(ctx)
	if err != nil {
		return nil, err
	}
	return &accepted.Bundle, nil
}

// pathID returns a path parameter that must be a valid id.
func pathID(r *http.Request, name string) (string, error) {
	id := r.PathValue(name)
	if !bundle.ValidID(id) {
		return "", errorf(BadRequest, "%s %q: allowed are 1 to %d characters out of a-z A-Z 0-9 . _ -", name, id, bundle.MaxIDLength)
	}
	return id, nil
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, errorf(NotFound, "no endpoint %s; endpoints start with %s", r.URL.Path, strings.TrimSuffix(apiPrefix, "/")))
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusMethodNotAllowed, errorReply{Error: errorf(BadRequest, "%s does not take %s, allowed: %s", r.URL.Path, r.Method, w.Header().Get("Allow"))})
}
