package engine

import (
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// newStream returns the event stream of a response with status 200. If
// checkStreamResponse rejects the response, newStream closes it and returns an error.
func (c *HTTPClient) newStream(x *exchange, resp *http.Response, id string, from int) (Stream, error) {
	if err := checkStreamResponse(resp, id); err != nil {
		_ = resp.Body.Close()
		x.end()
		return nil, invalidResponse(err)
	}
	input := &idleReader{body: resp.Body, exchange: x}
	return &httpStream{
		exchange: x, body: resp.Body, input: input, id: id, nextIndex: from,
		namedByHeader: resp.Header.Get(headerStream) == id,
		events:        newSSEReader(input, c.options.MaxEvent),
	}, nil
}

// checkStreamResponse checks that a response is an event stream and does not
// name a stream other than id.
func checkStreamResponse(resp *http.Response, id string) error {
	if other := resp.Header.Get(headerStream); other != "" && other != id {
		return fmt.Errorf("%w: got %q, want %q", errStreamMismatch, other, id)
	}
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || media != "text/event-stream" {
		return fmt.Errorf("%w: content type %q", errNotEventStream, resp.Header.Get("Content-Type"))
	}
	return nil
}

// readBody reads a whole response body. A body above Options.MaxBody is an error.
func (c *HTTPClient) readBody(x *exchange, resp *http.Response) ([]byte, error) {
	limit := c.options.MaxBody
	data, err := io.ReadAll(io.LimitReader(&idleReader{body: resp.Body, exchange: x}, limit+1))
	if err != nil {
		cause := x.cause(err)
		return nil, &Error{Verdict: verdict.MayHaveRun, TargetDown: x.targetDown(cause), Err: fmt.Errorf("read answer: %w", cause)}
	}
	if int64(len(data)) > limit {
		return nil, invalidResponse(fmt.Errorf("answer: %w", errBodyTooLarge))
	}
	return data, nil
}

// statusError returns the error for a response with an error status.
func statusError(status int, code, text string) *Error {
	return &Error{
		Verdict: verdict.MayHaveRun,
		Status:  status,
		Err:     fmt.Errorf("target answered %d %s: %s", status, code, text),
	}
}

// invalidResponse returns the error for a response that cannot be used. The
// target responded, so it does not count as down.
func invalidResponse(err error) *Error {
	return &Error{Verdict: verdict.MayHaveRun, Err: err}
}
