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

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

const (
	// idlePerTarget is the number of unused connections kept per target.
	idlePerTarget = 64
	// idleConnTimeout closes unused connections well before targets commonly
	// do (60 s), since a request that meets a closing connection may have run.
	idleConnTimeout = 20 * time.Second
	// maxAnswerHeader bounds the headers of an answer in bytes.
	maxAnswerHeader = 64 << 10
	// keepAlive is the interval of TCP probes.
	keepAlive = 15 * time.Second
)

// Faults of calls and answers.
var (
	errBodyTooLarge = errors.New("body is larger than the limit")
	errNotEvents    = errors.New("answer is not an event stream")
	errBadCall      = errors.New("invalid call")
)

// HTTPClient implements Client over HTTP/1.1. Every failure is an *Error.
// Requests that may run work are written to at most one connection: net/http
// repeats a request by itself only if its body can be rewound, and these
// bodies cannot. It is safe for concurrent use.
type HTTPClient struct {
	options   Options
	transport *http.Transport
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client.
func NewHTTPClient(o Options) *HTTPClient {
	o = o.withDefaults()
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: keepAlive}
	return &HTTPClient{options: o, transport: &http.Transport{
		DialContext:         trackedDial(dialer),
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxAnswerHeader,
	}}
}

// Close closes the unused connections.
func (c *HTTPClient) Close() { c.transport.CloseIdleConnections() }

// Open implements Client. ctx bounds the whole stream, not only its start.
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
		return c.stream(x, resp, call.Stream, 0)
	}
	defer x.end()
	defer resp.Body.Close()
	code, text := readRefusal(&idleReader{body: resp.Body, x: x})
	failed := refused(resp.StatusCode, code, text)
	if refusesWork(resp.StatusCode) && code != codeStreamExists {
		failed.Verdict = verdict.NotRun
	}
	return nil, failed
}

// Resume implements Client. Its failures are never NotRun, since the stream
// was dispatched earlier. ctx bounds the whole stream.
func (c *HTTPClient) Resume(ctx context.Context, t target.Target, stream string, from int) (Stream, error) {
	r := streamRequest(http.MethodGet, t, stream)
	r.URL.RawQuery = "from=" + strconv.Itoa(from)
	x, resp, err := c.ask(ctx, r)
	if err != nil {
		return nil, err
	}
	return c.stream(x, resp, stream, from)
}

// Cancel implements Client. Its failures are never NotRun, since the stream
// was dispatched earlier.
func (c *HTTPClient) Cancel(ctx context.Context, t target.Target, stream string) (Usage, error) {
	x, resp, err := c.ask(ctx, streamRequest(http.MethodDelete, t, stream))
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
		return Usage{}, failure(fmt.Errorf("decode usage: %w", err))
	}
	usage, err := raw.usage()
	if err != nil {
		return Usage{}, failure(err)
	}
	return usage, nil
}

// Do implements Client. An answer with an error status is a Response, unless
// the service states with the code not_accepted that it did not run the call.
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
		return Response{}, failure(fmt.Errorf("%w: got %q, want %q", errOtherID, other, call.Stream))
	}
	data, err := c.readBody(x, resp)
	if err != nil {
		return Response{}, err
	}
	if refusesWork(resp.StatusCode) {
		code, text := readRefusal(bytes.NewReader(data))
		if code == codeNotAccepted {
			failed := refused(resp.StatusCode, code, text)
			failed.Verdict = verdict.NotRun
			return Response{}, failed
		}
	}
	return Response{Status: resp.StatusCode, Header: forwardable(resp.Header), Body: data}, nil
}
