package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// maxRefusalBytes limits the size of the body of a refusal.
const maxRefusalBytes = 1 << 20

// refusal is the error of a request that was not answered completely.
type refusal struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	Message    string          `json:"message"`
	RequestID  string          `json:"request_id"`
	RetryAfter string          `json:"-"` // Retry-After header, seconds or a date
}

// refusalBody is the JSON body of a reply that refuses a request.
type refusalBody struct {
	Error *refusal `json:"error"`
}

// Error implements error. Each known field is on a line of its own.
func (r *refusal) Error() string {
	lines := []string{
		"request was not answered completely: " + r.Message,
		"verdict: " + string(r.Verdict),
	}
	if r.Reason != "" {
		lines = append(lines, "reason: "+string(r.Reason))
	}
	if r.RequestID != "" {
		lines = append(lines, "request: "+r.RequestID)
	}
	if r.RetryAfter != "" {
		lines = append(lines, "retry after: "+r.RetryAfter+" s")
	}
	return strings.Join(lines, "\n")
}

// parseRefusal reads a refusal from a reply. A reply without a valid refusal, for
// example from a load balancer, does not show whether the request ran, so its
// verdict is may_have_run.
func parseRefusal(response *http.Response) error {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err != nil {
		return &refusal{Verdict: verdict.MayHaveRun, Message: err.Error()}
	}
	var body refusalBody
	if json.Unmarshal(raw, &body) != nil || body.Error == nil || !body.Error.Verdict.Valid() {
		return &refusal{Verdict: verdict.MayHaveRun, Message: fmt.Sprintf("unexpected reply with status %s", response.Status)}
	}
	body.Error.RetryAfter = response.Header.Get("Retry-After")
	return body.Error
}
