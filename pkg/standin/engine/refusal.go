package engine

import "net/http"

// CodeStreamExists marks the refusal of a repeated stream id, which unlike the
// other refusals says that a request with this id was accepted before.
const CodeStreamExists = "stream_exists"

// refusal is an error answer of the engine.
type refusal struct {
	status  int
	message string
	code    string
}

// Error implements error.
func (r *refusal) Error() string { return r.message }

// Refusals of a new stream.
var (
	errLoading      = &refusal{status: http.StatusServiceUnavailable, message: "loading"}
	errDraining     = &refusal{status: http.StatusServiceUnavailable, message: "draining"}
	errQueueFull    = &refusal{status: http.StatusTooManyRequests, message: "queue is full"}
	errStaleFencing = &refusal{status: http.StatusConflict, message: "stale fencing number"}
	errStreamExists = &refusal{status: http.StatusConflict, message: "stream id was already used", code: CodeStreamExists}
)
