package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/access"
)

// maxReplyBytes is the maximum size of a reply.
const maxReplyBytes = 64 << 20

// Client calls the admin API of a daemon. A failed call returns an *Error if the
// daemon answered.
type Client struct {
	URL    string // base URL, for example https://127.0.0.1:9443
	Signer access.Signer
	HTTP   *http.Client // default http.DefaultClient
}

// request describes one call.
type request struct {
	method string
	path   string // escaped path below apiPrefix
	query  url.Values
	body   any // nil: empty body
}

// do sends a call and decodes the JSON reply into reply, which is a pointer.
func (c *Client) do(ctx context.Context, req request, reply any) error {
	httpRequest, err := c.build(ctx, req)
	if err != nil {
		return err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return fmt.Errorf("call %s: %w", c.URL, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("read reply of %s: %w", c.URL, err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response, raw)
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return fmt.Errorf("decode reply of %s: %w", c.URL, err)
	}
	return nil
}

func (c *Client) build(ctx context.Context, req request) (*http.Request, error) {
	var body []byte
	if req.body != nil {
		var err error
		if body, err = json.Marshal(req.body); err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
	}
	callURL := c.URL + apiPrefix + req.path
	if len(req.query) > 0 {
		callURL += "?" + req.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, req.method, callURL, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("admin URL %q: %w", c.URL, err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	c.Signer.Sign(httpRequest, body)
	return httpRequest, nil
}

// decodeError decodes the error in a reply. For a reply that does not come from a
// daemon, for example from a load balancer, the error contains the HTTP status.
func decodeError(response *http.Response, raw []byte) error {
	var reply errorReply
	if err := json.Unmarshal(raw, &reply); err != nil || reply.Error == nil {
		return fmt.Errorf("unexpected reply with status %s", response.Status)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		reply.Error.RetryAfter = time.Duration(seconds) * time.Second
	}
	return reply.Error
}

// pathSegment escapes a path parameter as the server's router expects it.
func pathSegment(value string) string { return "/" + url.QueryEscape(value) }

// pageQuery returns the query for the page after a key. With a limit of 0 the server
// uses its default limit.
func pageQuery(after string, limit int) url.Values {
	query := url.Values{}
	if after != "" {
		query.Set("after", after)
	}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	return query
}
