package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// dispatch sends a request that makes the target run work. The request has no
// GetBody and its body is never http.NoBody, even if empty, so that net/http
// cannot retry it.
func (c *HTTPClient) dispatch(ctx context.Context, call Call, r *http.Request) (*exchange, *http.Response, error) {
	if int64(len(call.Body)) > c.options.MaxBody {
		return nil, nil, &Error{Verdict: verdict.NotRun, Err: fmt.Errorf("request: %w", errBodyTooLarge)}
	}
	r.Header.Set(headerStream, call.Stream)
	r.Header.Set(headerPriority, strconv.Itoa(call.Priority))
	r.Header.Set(headerFencing, strconv.FormatUint(call.Fencing, 10))
	r.Body = io.NopCloser(bytes.NewReader(call.Body))
	r.ContentLength = int64(len(call.Body))
	x := newExchange(ctx, c.options.IdleTimeout)
	resp, err := x.roundTrip(c.transport, r)
	if err == nil {
		return x, resp, nil
	}
	defer x.end()
	failed := &Error{Verdict: verdict.MayHaveRun, TargetDown: x.targetDown(err), Err: fmt.Errorf("dispatch %s: %w", call.Stream, err)}
	if x.unsent() {
		failed.Verdict = verdict.NotRun
	}
	return nil, nil, failed
}

// queryStream sends a request about a stream that was dispatched earlier. It
// returns a response with status 200; other statuses are errors.
func (c *HTTPClient) queryStream(ctx context.Context, r *http.Request) (*exchange, *http.Response, error) {
	x := newExchange(ctx, c.options.IdleTimeout)
	resp, err := x.roundTrip(c.transport, r)
	if err != nil {
		defer x.end()
		return nil, nil, &Error{Verdict: verdict.MayHaveRun, TargetDown: x.targetDown(err), Err: fmt.Errorf("%s %s: %w", r.Method, r.URL.Path, err)}
	}
	if resp.StatusCode == http.StatusOK {
		return x, resp, nil
	}
	defer x.end()
	defer resp.Body.Close()
	code, text := readRefusal(&idleReader{body: resp.Body, exchange: x})
	failed := statusError(resp.StatusCode, code, text)
	if resp.StatusCode == http.StatusNotFound {
		failed.Err = fmt.Errorf("%w: %w", ErrUnknownStream, failed.Err)
	}
	return nil, nil, failed
}
