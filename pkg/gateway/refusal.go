package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// defaultRetryAfter is the Retry-After of refusals whose cause is temporary.
const defaultRetryAfter = time.Second

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Message   string          `json:"message"`
	Reason    verdict.Reason  `json:"reason"`
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id"`
}

// encodeRefusal encodes a refusal as JSON on one line.
func encodeRefusal(e *verdict.Error, id string) []byte {
	body := refusalBody{Error: refusalError{Message: e.Message, Reason: e.Reason, Verdict: e.Verdict, RequestID: id}}
	data, err := json.Marshal(body)
	if err != nil {
		// Unreachable: encoding strings does not fail.
		return []byte(`{"error":{"reason":"internal","verdict":"may_have_run"}}`)
	}
	return data
}

// writeRefusal sends a refusal as an HTTP response.
func writeRefusal(w http.ResponseWriter, status int, e *verdict.Error, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(requestIDHeader, id)
	h.Set(verdictHeader, string(e.Verdict))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(encodeRefusal(e, id))
}

// ceilSeconds rounds a duration up to whole seconds, because a Retry-After of 0 would
// make the caller retry at once.
func ceilSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
