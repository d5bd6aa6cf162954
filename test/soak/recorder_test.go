package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/platform/rig"
)

// request is one request as its caller observed it.
type request struct {
	id, host, path          string
	response                rig.Response
	start, end              time.Time
	stateBefore, stateAfter hostState
}

// undisturbed reports whether no fault affected the daemon process during the
// request.
func (r request) undisturbed() bool {
	return r.stateBefore == r.stateAfter && !r.stateAfter.disturbed()
}

// recorder records the requests of all callers and a log of requests and faults.
type recorder struct {
	t             *testing.T
	latestVersion atomic.Int64 // version of the most recently written configuration

	mu       sync.Mutex
	requests map[string]request
	eventLog []string
}

func (rec *recorder) init(t *testing.T) {
	rec.t = t
	rec.requests = make(map[string]request)
}

// logEvent appends a line to the event log.
func (rec *recorder) logEvent(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.eventLog = append(rec.eventLog, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (rec *recorder) loggedEvents() []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return slices.Clone(rec.eventLog)
}

// record records a request. It fails the test if the request got no response
// although no fault affected the daemon process, or was rejected without a
// Retry-After header.
func (rec *recorder) record(r request) {
	rec.logEvent("%s %s %s: %d %v after %v", r.id, r.host, r.path, r.response.Status, r.response.Err, r.end.Sub(r.start).Round(time.Millisecond))
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests[r.id] = r
	switch {
	case r.response.Err != nil && r.response.Status == 0 && r.undisturbed():
		rec.t.Errorf("%s %s: no response from %s although no fault affected its process: %v", r.id, r.path, r.host, r.response.Err)
	case r.response.Err == nil && isRejection(r.response.Status) && r.response.RetryAfter == "":
		rec.t.Errorf("%s %s: %s rejected the request with status %d without a Retry-After header", r.id, r.path, r.host, r.response.Status)
	}
}

// isRejection reports whether a status guarantees that the request has not run.
func isRejection(status int) bool { return status == 503 || status == 429 }

// summary returns the number of responses by status. Status 0 stands for requests
// that failed.
func (rec *recorder) summary() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	counts := make(map[int]int)
	for _, r := range rec.requests {
		status := r.response.Status
		if r.response.Err != nil {
			status = 0
		}
		counts[status]++
	}
	text := ""
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf("%d: %d; ", status, counts[status])
	}
	return text
}

// mayAbortStream reports whether the daemon logged a permitted reason for ending a
// stream early. If it has forwarded the request to another host, that host's reason counts,
// or that it was killed meanwhile.
func (s *scenario) mayAbortStream(r request) bool {
	line := s.endOfRequest(r.host, r.id)
	for _, h := range s.hosts {
		if h.Name == r.host || !strings.Contains(line, `"`+h.Name+`"]`) {
			continue
		}
		if h.killedWithin(r.start, r.end) {
			return true
		}
		line = s.endOfRequest(h.Name, r.id)
		break
	}
	return slices.ContainsFunc([]string{"attempts", "retry_limit", "no_target", "deadline", "overrun"}, func(reason string) bool {
		return strings.Contains(line, `"stopped_by":"`+reason+`"`)
	})
}

// endOfRequest returns the line with which a host has logged the end of a request, "" if there is
// none.
func (s *scenario) endOfRequest(host, id string) string {
	for _, h := range s.hosts {
		if h.Name == host {
			return h.LastLogLine(`"`+id+`"`, `"stopped_by":`)
		}
	}
	return ""
}

// checkRuns compares the responses that callers received with the requests that
// targets ran.
func (s *scenario) checkRuns() {
	runs := make(map[string]int)
	for _, p := range s.targets {
		for _, run := range p.Runs() {
			runs[run.ID]++
		}
	}
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	for id, r := range s.recorder.requests {
		unsafe := r.path == "/order/"
		if unsafe && runs[id] > 1 {
			s.t.Errorf("request %s: unsafe, but ran %d times, want at most once", id, runs[id])
		}
		if unsafe && r.response.Err == nil && isRejection(r.response.Status) && runs[id] > 0 {
			s.t.Errorf("request %s: rejected with status %d, but a target ran the request", id, r.response.Status)
		}
		if r.response.Err != nil && r.response.Status == 200 && r.undisturbed() && !s.mayAbortStream(r) {
			s.t.Errorf("%s %s: %s aborted the stream without a permitted reason after %d runs: %v", id, r.path, r.host, runs[id], r.response.Err)
		}
		if r.response.Err != nil || r.response.Status != 200 {
			continue
		}
		if runs[id] == 0 {
			s.t.Errorf("request %s: answered with status 200, but no target ran the request", id)
		}
	}
}

// checkBudget requires that the successful responses so far cost no more than the
// prepaid budget.
func (s *scenario) checkBudget() {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	spent, prepaidTokens := int64(0), s.prepaidTokens.Load()
	for _, r := range s.recorder.requests {
		if r.response.Err != nil || r.response.Status != 200 {
			continue
		}
		spent += promptTokens
		if r.path != "/order/" {
			spent += outputTokens
		}
	}
	if spent > prepaidTokens {
		s.t.Errorf("%d tokens spent, but only %d are prepaid", spent, prepaidTokens)
	}
}
