package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// maxRefusal bounds the body of a refusal in bytes.
const maxRefusal = 1 << 20

// refusal is a request that was not answered completely.
type refusal struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	Message    string          `json:"message"`
	RequestID  string          `json:"request_id"`
	RetryAfter string          `json:"-"` // Retry-After header, seconds or a date
}

// refusalBody is the body of a refusal, in a reply or in a stream event.
type refusalBody struct {
	Error *refusal `json:"error"`
}

// Error implements error with one line per fact.
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

// refusalOf reads a refusal. A reply without one, for example by a load
// balancer, says nothing about whether the request ran.
func refusalOf(response *http.Response) error {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
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
