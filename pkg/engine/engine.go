// Package engine is the client of targets: it dispatches requests, reads and
// resumes token streams and cancels them.
package engine

import (
	"context"
	"errors"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// ErrUnknownStream means that the target does not know the stream id.
var ErrUnknownStream = errors.New("unknown stream")

// Error is a failed request to a target.
type Error struct {
	Verdict    verdict.Verdict // NotRun only if no byte of the request was written, or the target refused it explicitly
	TargetDown bool            // whether the target counts as down: connecting failed for a cause outside of this host, the connection or the stream ended before the response was complete, or no byte arrived for the idle timeout
	Status     int             // HTTP status of the target's error response, 0 if there was none
	Err        error           // cause
}

// Error implements error.
func (e *Error) Error() string { return string(e.Verdict) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Usage is the token count that a target reports.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Event is one chunk of a stream, or its end.
type Event struct {
	Index  int    // position in the stream, from 0
	Data   []byte // chunk as OpenAI chat completion JSON; nil if the event is only the end of the stream
	Tokens int    // number of completion tokens in this chunk
	Usage  *Usage // token counts of the request; set only on the last event, and nil there too if the target sent none
	Done   bool   // whether the stream is complete
}

// Stream is an open token stream. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next event. After the event with Done set it returns io.EOF.
	// Every other error is an *Error.
	Next() (Event, error)
	// Close stops reading without cancelling the stream at the target.
	Close() error
}

// Call is a request to a target.
type Call struct {
	Target   target.Target
	Stream   string      // stream id, unique in the fleet
	Priority int         // 0 to 9, higher is more urgent
	Fencing  uint64      // fencing number, sent in the header X-Fencing
	Method   string      // HTTP method, plain services only
	Path     string      // path with query, plain services only
	Header   http.Header // HTTP headers, plain services only
	Body     []byte      // request body
}

// Response is the complete response of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends requests to targets.
type Client interface {
	// Open dispatches a completion and returns once the target has accepted it.
	Open(ctx context.Context, call Call) (Stream, error)
	// Resume reads a running or finished stream, starting at the event with
	// index from. It returns ErrUnknownStream (wrapped) if the target does not
	// know the stream.
	Resume(ctx context.Context, t target.Target, stream string, from int) (Stream, error)
	// Cancel stops a stream and returns its token counts.
	Cancel(ctx context.Context, t target.Target, stream string) (Usage, error)
	// Do sends a call to a plain service and returns its complete response.
	Do(ctx context.Context, call Call) (Response, error)
}
