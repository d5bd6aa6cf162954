package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// shortRetry is when a caller should come back after a condition that passes by itself.
const defaultRetryAfter = time.Second

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Message   string          `json:"message"`
	Reason    verdict.Reason  `json:"reason"`
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id"`
}

// encodeRefusal returns the JSON of a refusal on one line.
func encodeRefusal(e *verdict.Error, id string) []byte {
	body := refusalBody{Error: refusalError{Message: e.Message, Reason: e.Reason, Verdict: e.Verdict, RequestID: id}}
	data, err := json.Marshal(body)
	if err != nil {
		// Strings always encode, so this is not reached.
		return []byte(`{"error":{"reason":"internal","verdict":"may_have_run"}}`)
	}
	return data
}

// writeRefusal sends a refusal as a whole response.
func writeRefusal(w http.ResponseWriter, status int, e *verdict.Error, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(requestIDHeader, id)
	h.Set(verdictHeader, string(e.Verdict))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	w.WriteHeader(status)
	// A caller that has left cannot be told.
	_, _ = w.Write(encodeRefusal(e, id))
}

// wholeSeconds rounds a positive duration up, because a Retry-After of 0 would
// bring the caller back at once.
func ceilSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
