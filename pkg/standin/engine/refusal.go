package engine

import "net/http"

// CodeStreamExists is the error code for a repeated stream id. Unlike the other
// refusals it means that a request with this id was accepted before.
const CodeStreamExists = "stream_exists"

// refusal is the reason why the engine refuses a stream, and its error response.
type refusal struct {
	status  int
	message string
	code    string
}

// Error implements error.
func (r *refusal) Error() string { return r.message }

// Reasons for refusing a new stream.
var (
	errLoading      = &refusal{status: http.StatusServiceUnavailable, message: "loading"}
	errDraining     = &refusal{status: http.StatusServiceUnavailable, message: "draining"}
	errQueueFull    = &refusal{status: http.StatusTooManyRequests, message: "queue is full"}
	errStaleFencing = &refusal{status: http.StatusConflict, message: "stale fencing number"}
	errStreamExists = &refusal{status: http.StatusConflict, message: "stream id was already used", code: CodeStreamExists}
)
