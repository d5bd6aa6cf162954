package service

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/alexedwards/flow"

	"github.com/peppertrail/peppertrail/pkg/standin/process"
)

// CodeNotAccepted is the error code of a call that was refused and did not run.
const CodeNotAccepted = "not_accepted"

const (
	headerStream = "X-Stream-Id"
	// maxBody is the largest accepted request body in bytes.
	maxBody = 8 << 20
)

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/status", s.handleStatus, http.MethodGet)
	mux.HandleFunc("/journal", s.handleJournal, http.MethodGet)
	mux.HandleFunc("/drain", s.handleDrain, http.MethodPost)
	mux.HandleFunc("/...", s.handleCall)
	return mux
}

// handleCall runs a call and responds with its echo.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		process.WriteError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	echo, err := s.run(r, r.Header.Get(headerStream), body)
	if err != nil {
		process.WriteJSON(w, http.StatusServiceUnavailable, process.ErrorBody{Error: err.Error(), Code: CodeNotAccepted})
		return
	}
	w.Header().Set(headerStream, echo.Stream)
	process.WriteJSON(w, http.StatusOK, echo)
}

// handleStatus sends the current state.
func (s *Service) handleStatus(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, s.status())
}

// handleDrain starts draining.
func (s *Service) handleDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusNoContent)
}

// handleJournal sends one record per accepted call, in order of arrival.
func (s *Service) handleJournal(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	lines := json.NewEncoder(w)
	for _, r := range s.Journal() {
		if lines.Encode(r) != nil {
			return
		}
	}
}
