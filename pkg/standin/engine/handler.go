package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/alexedwards/flow"

	"github.com/peppertrail/peppertrail/pkg/standin/process"
	"github.com/peppertrail/peppertrail/pkg/target"
)

const (
	headerStream   = "X-Stream-Id"
	headerPriority = "X-Priority"
	headerFencing  = "X-Fencing"
	// maxBody is the largest accepted request body in bytes.
	maxBody = 8 << 20
	// maxPriority is the most urgent priority.
	maxPriority = 9
)

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/v1/chat/completions", e.handleCompletion, http.MethodPost)
	mux.HandleFunc("/v1/streams/:id", e.handleResume, http.MethodGet)
	mux.HandleFunc("/v1/streams/:id", e.handleCancel, http.MethodDelete)
	mux.HandleFunc("/v1/cache/events", e.handleCacheEvents, http.MethodGet)
	mux.HandleFunc("/drain", e.handleDrain, http.MethodPost)
	mux.HandleFunc("/journal", e.handleJournal, http.MethodGet)
	if e.options.Kind == target.PromText {
		mux.Handle("/metrics", metricsHandler(e.delayedReport), http.MethodGet)
	} else {
		mux.HandleFunc("/status", e.handleStatus, http.MethodGet)
	}
	return mux
}

// handleCompletion accepts a stream and sends its events.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerStream)
	if id == "" {
		process.WriteError(w, http.StatusBadRequest, "header "+headerStream+" is missing")
		return
	}
	priority, err := headerNumber(r, headerPriority)
	if err != nil || priority > maxPriority {
		process.WriteError(w, http.StatusBadRequest, "header "+headerPriority+" is not a number from 0 to 9")
		return
	}
	fencing, err := headerNumber(r, headerFencing)
	if err != nil {
		process.WriteError(w, http.StatusBadRequest, "header "+headerFencing+" is not a number")
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		process.WriteError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	prompt, err := ParsePrompt(data)
	if err != nil {
		process.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	s, err := e.submit(id, prompt, int(priority), fencing)
	if err != nil {
		refuse(w, err)
		return
	}
	e.sendEvents(w, r, s, 0)
}

// handleResume sends the events of an accepted stream from the index given in the
// query.
func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r.PathValue("id"))
	if s == nil {
		process.WriteError(w, http.StatusNotFound, "unknown stream")
		return
	}
	from, err := queryNumber(r, "from")
	if err != nil || from > s.prompt.CompletionTokens+1 {
		process.WriteError(w, http.StatusBadRequest, "from is not an event index of this stream")
		return
	}
	if e.cancelled(s) {
		process.WriteError(w, http.StatusGone, "the stream was cancelled")
		return
	}
	e.sendEvents(w, r, s, from)
}

// cancelled reports whether a stream was cancelled.
func (e *Engine) cancelled(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.outcome == Cancelled
}

// handleCancel ends a stream and responds with its usage.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	s := e.find(r.PathValue("id"))
	if s == nil {
		process.WriteError(w, http.StatusNotFound, "unknown stream")
		return
	}
	process.WriteJSON(w, http.StatusOK, e.cancel(s))
}

// handleCacheEvents sends the published cache events after a sequence number.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after")
	if err != nil {
		process.WriteError(w, http.StatusBadRequest, "after is not a sequence number")
		return
	}
	e.mu.Lock()
	events := e.cacheLog.after(after)
	e.mu.Unlock()
	process.WriteJSON(w, http.StatusOK, events)
}

// handleDrain starts draining.
func (e *Engine) handleDrain(w http.ResponseWriter, _ *http.Request) {
	e.Drain()
	w.WriteHeader(http.StatusNoContent)
}

// handleStatus sends the delayed report.
func (e *Engine) handleStatus(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, e.delayedReport())
}

// handleJournal sends one record per accepted stream, in order of arrival.
func (e *Engine) handleJournal(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	lines := json.NewEncoder(w)
	for _, r := range e.Journal() {
		if lines.Encode(r) != nil {
			return
		}
	}
}

// Journal returns one record per accepted stream, in order of arrival.
func (e *Engine) Journal() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]Record, 0, len(e.history))
	for _, s := range e.history {
		records = append(records, s.record())
	}
	return records
}

// refuse writes an error returned by submit as an error response.
func refuse(w http.ResponseWriter, err error) {
	var r *refusal
	if !errors.As(err, &r) {
		process.WriteError(w, http.StatusInternalServerError, err.Error())
		return
	}
	process.WriteJSON(w, r.status, process.ErrorBody{Error: r.message, Code: r.code})
}

// headerNumber returns the value of a header, 0 if it is absent.
func headerNumber(r *http.Request, name string) (uint64, error) {
	value := r.Header.Get(name)
	if value == "" {
		return 0, nil
	}
	return strconv.ParseUint(value, 10, 64)
}

// queryNumber returns the value of a query parameter, 0 if it is absent.
func queryNumber(r *http.Request, name string) (int, error) {
	value := r.URL.Query().Get(name)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 31)
	return int(n), err
}
