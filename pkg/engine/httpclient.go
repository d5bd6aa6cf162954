package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/httpstrict"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

const (
	// maxIdleConnsPerTarget is the maximum number of idle connections kept per target.
	maxIdleConnsPerTarget = 64
	// idleConnTimeout closes idle connections well before targets commonly do
	// (60 s), since a request on a connection that the target is closing may
	// have run.
	idleConnTimeout = 20 * time.Second
	// maxResponseHeaderBytes limits the size of the response headers.
	maxResponseHeaderBytes = 64 << 10
	// keepAliveInterval is the interval between TCP keep-alive probes.
	keepAliveInterval = 15 * time.Second
)

// Errors of invalid calls and responses.
var (
	errBodyTooLarge   = errors.New("body is larger than the limit")
	errNotEventStream = errors.New("answer is not an event stream")
	errInvalidCall    = errors.New("invalid call")
)

// HTTPClient implements Client over HTTP/1.1. Every failure is an *Error.
// Requests that may run work are written to at most one connection: net/http
// retries a request only if its body can be rewound, which these bodies do not
// allow. It is safe for concurrent use.
type HTTPClient struct {
	options   Options
	transport httpstrict.Transport
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client with its own connection pool.
func NewHTTPClient(o Options) *HTTPClient {
	o = o.withDefaults()
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: keepAliveInterval}
	return &HTTPClient{options: o, transport: httpstrict.Transport{Transport: &http.Transport{
		DialContext:         trackedDial(dialer),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerTarget,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}}
}

// Close closes the idle connections.
func (c *HTTPClient) Close() { c.transport.CloseIdleConnections() }

// Open implements Client. ctx applies to the whole stream, not only to its start.
func (c *HTTPClient) Open(ctx context.Context, call Call) (Stream, error) {
	r := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: call.Target.Addr, Path: "/v1/chat/completions"},
		Header: http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
	}
	x, resp, err := c.dispatch(ctx, call, r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return c.newStream(x, resp, call.Stream, 0)
	}
	defer x.end()
	defer resp.Body.Close()
	code, text := readRefusal(&idleReader{body: resp.Body, exchange: x})
	failed := statusError(resp.StatusCode, code, text)
	if isRefusalStatus(resp.StatusCode) && code != codeStreamExists {
		failed.Verdict = verdict.NotRun
	}
	return nil, failed
}

// Resume implements Client. Its failures are never NotRun, since the stream
// was dispatched earlier. ctx applies to the whole stream.
func (c *HTTPClient) Resume(ctx context.Context, t target.Target, stream string, from int) (Stream, error) {
	r := streamRequest(http.MethodGet, t, stream)
	r.URL.RawQuery = "from=" + strconv.Itoa(from)
	x, resp, err := c.queryStream(ctx, r)
	if err != nil {
		return nil, err
	}
	return c.newStream(x, resp, stream, from)
}

// Cancel implements Client. Its failures are never NotRun, since the stream
// was dispatched earlier.
func (c *HTTPClient) Cancel(ctx context.Context, t target.Target, stream string) (Usage, error) {
	x, resp, err := c.queryStream(ctx, streamRequest(http.MethodDelete, t, stream))
	if err != nil {
		return Usage{}, err
	}
	defer x.end()
	defer resp.Body.Close()
	data, err := c.readBody(x, resp)
	if err != nil {
		return Usage{}, err
	}
	var raw rawUsage
	if err := json.Unmarshal(data, &raw); err != nil {
		return Usage{}, invalidResponse(fmt.Errorf("decode usage: %w", err))
	}
	usage, err := raw.usage()
	if err != nil {
		return Usage{}, invalidResponse(err)
	}
	return usage, nil
}

// Do implements Client. A response with an error status is returned as a
// Response, unless the service states with the code not_accepted that it did not
// run the call.
func (c *HTTPClient) Do(ctx context.Context, call Call) (Response, error) {
	r, err := serviceRequest(call)
	if err != nil {
		return Response{}, &Error{Verdict: verdict.NotRun, Err: err}
	}
	x, resp, err := c.dispatch(ctx, call, r)
	if err != nil {
		return Response{}, err
	}
	defer x.end()
	defer resp.Body.Close()
	if other := resp.Header.Get(headerStream); other != "" && other != call.Stream {
		return Response{}, invalidResponse(fmt.Errorf("%w: got %q, want %q", errStreamMismatch, other, call.Stream))
	}
	data, err := c.readBody(x, resp)
	if err != nil {
		return Response{}, err
	}
	if isRefusalStatus(resp.StatusCode) {
		code, text := readRefusal(bytes.NewReader(data))
		if code == codeNotAccepted {
			failed := statusError(resp.StatusCode, code, text)
			failed.Verdict = verdict.NotRun
			return Response{}, failed
		}
	}
	return Response{Status: resp.StatusCode, Header: forwardableHeaders(resp.Header), Body: data}, nil
}
