package engine

import (
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// stream returns the events of an answer with status 200.
func (c *HTTPClient) stream(x *exchange, resp *http.Response, id string, from int) (Stream, error) {
	if err := checkStream(resp, id); err != nil {
		_ = resp.Body.Close()
		x.end()
		return nil, failure(err)
	}
	input := &idleReader{body: resp.Body, x: x}
	return &httpStream{
		x: x, body: resp.Body, input: input, id: id, index: from,
		named:  resp.Header.Get(headerStream) == id,
		events: newSSEReader(input, c.options.MaxEvent),
	}, nil
}

// checkStream checks that an answer is an event stream and not that of another id.
func checkStream(resp *http.Response, id string) error {
	if other := resp.Header.Get(headerStream); other != "" && other != id {
		return fmt.Errorf("%w: got %q, want %q", errOtherID, other, id)
	}
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || media != "text/event-stream" {
		return fmt.Errorf("%w: content type %q", errNotEvents, resp.Header.Get("Content-Type"))
	}
	return nil
}

// readBody reads a whole answer up to the size limit.
func (c *HTTPClient) readBody(x *exchange, resp *http.Response) ([]byte, error) {
	limit := c.options.MaxBody
	data, err := io.ReadAll(io.LimitReader(&idleReader{body: resp.Body, x: x}, limit+1))
	if err != nil {
		cause := x.cause(err)
		return nil, &Error{Verdict: verdict.MayHaveRun, Died: x.died(cause), Err: fmt.Errorf("read answer: %w", cause)}
	}
	if int64(len(data)) > limit {
		return nil, failure(fmt.Errorf("answer: %w", errBodyTooLarge))
	}
	return data, nil
}

// refused returns the error for an answer with an error status.
func refused(status int, code, text string) *Error {
	return &Error{
		Verdict: verdict.MayHaveRun,
		Status:  status,
		Err:     fmt.Errorf("target answered %d %s: %s", status, code, text),
	}
}

// failure returns the error for an answer that cannot be used. The target is alive.
func failure(err error) *Error {
	return &Error{Verdict: verdict.MayHaveRun, Err: err}
}
