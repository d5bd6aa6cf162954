// Package platform is an in-memory stand-in for the platform. It serves the table,
// the object store and the membership list as JSON over HTTP, and injects the
// faults that tests and measurements enable.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/alexedwards/flow"
)

// Server is the stand-in. Its state is held in memory only.
type Server struct {
	table   *table
	objects *objectMap
	members *memberList
	writes  writeLimit
	start   time.Time

	mu     sync.Mutex
	faults Faults
}

// New returns an empty stand-in without faults.
func New() *Server {
	return &Server{
		table:   newTable(),
		objects: newObjectMap(),
		members: newMemberList(),
		start:   time.Now(),
	}
}

// Handler returns the HTTP interface of the stand-in.
func (s *Server) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/faults", s.putFaults, http.MethodPut)
	mux.HandleFunc("/faults", s.getFaults, http.MethodGet)
	mux.HandleFunc("/stats", s.getStats, http.MethodGet)
	mux.HandleFunc("/members/:id", s.putMember, http.MethodPut)
	mux.HandleFunc("/members/:id", s.deleteMember, http.MethodDelete)
	mux.Group(func(mux *flow.Mux) {
		mux.Use(s.withLatency)
		mux.HandleFunc("/table/commit", s.commit, http.MethodPost)
		mux.HandleFunc("/table/get", s.get, http.MethodPost)
		mux.HandleFunc("/table/scan", s.scan, http.MethodPost)
		mux.HandleFunc("/objects/...", s.putObject, http.MethodPut)
		mux.HandleFunc("/objects/...", s.getObject, http.MethodGet)
		mux.HandleFunc("/members", s.getMembers, http.MethodGet)
	})
	return mux
}

// SetFaults replaces the injected faults. It returns an error if a value is
// out of range.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	return nil
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Stats returns the counters since the server was created.
func (s *Server) Stats() Stats {
	stats := s.table.readStats()
	stats.Seconds = time.Since(s.start).Seconds()
	return stats
}

// withLatency waits for the injected latency before it passes the call to next.
func (s *Server) withLatency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := sleep(r.Context(), s.Faults().delay()); err != nil {
			return
		}
		next.ServeHTTP(w, r)
	})
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
