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

// Error is a failed exchange with a target.
type Error struct {
	Verdict verdict.Verdict // NotRun only if no byte of the request reached the target, or it refused the request explicitly
	Died    bool            // the target stopped answering: connection reset or refused, or no bytes for the idle timeout
	Status  int             // HTTP status if the target answered with an error, else 0
	Err     error
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

// Event is one chunk of a stream.
type Event struct {
	Index  int    // position in the stream, from 0
	Data   []byte // JSON chunk in the OpenAI form
	Tokens int    // completion tokens in this chunk
	Usage  *Usage // set on the last chunk
	Done   bool   // the stream is complete
}

// Stream is an open token stream. It is used by one goroutine.
type Stream interface {
	// Next returns the next event. After the event with Done set it returns io.EOF.
	// A failure is an *Error.
	Next() (Event, error)
	// Close stops reading without cancelling the stream at the target.
	Close() error
}

// Call is a request to a target.
type Call struct {
	Target   target.Target
	Stream   string // stream id, unique in the fleet
	Priority int    // 0 to 9, higher is more urgent
	Fencing  uint64
	Method   string      // plain services only
	Path     string      // plain services only, with the query
	Header   http.Header // plain services only
	Body     []byte
}

// Response is the whole answer of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client exchanges messages with targets.
type Client interface {
	// Open dispatches a completion and returns once the target has accepted it.
	Open(ctx context.Context, call Call) (Stream, error)
	// Resume reads a running or finished stream from event index from on. It
	// returns ErrUnknownStream (wrapped) if the target does not know it.
	Resume(ctx context.Context, t target.Target, stream string, from int) (Stream, error)
	// Cancel stops a stream and returns what it used.
	Cancel(ctx context.Context, t target.Target, stream string) (Usage, error)
	// Do sends a call to a plain service.
	Do(ctx context.Context, call Call) (Response, error)
}
