package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	maxReplyBytes      = 64 << 20 // size limit of a 2xx reply
	maxErrorReplyBytes = 1 << 10  // bytes read of a reply with another status
)

// callJSON sends in as JSON (no body if it is nil) and decodes the reply into out.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
	}
	reply, err := c.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(reply, out); err != nil {
		return unavailable(method, path, err)
	}
	return nil
}

// call sends body and returns the body of a 2xx reply. For other replies it returns
// a StatusError (wrapped).
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	reply, err := c.exchange(ctx, method, path, http.Header{}, body)
	return reply.body, err
}

// successReply is a reply with a 2xx status.
type successReply struct {
	header http.Header
	body   []byte
}

// exchange sends body with the given headers and returns a 2xx reply. For other
// replies it returns a StatusError (wrapped).
func (c *Client) exchange(ctx context.Context, method, path string, header http.Header, body []byte) (successReply, error) {
	if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return successReply{}, fmt.Errorf("%s %s: %w", method, path, err)
	}
	req.Header = header
	resp, err := c.http.Do(req)
	if err != nil {
		return successReply{}, unavailable(method, path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return successReply{}, fmt.Errorf("%s %s: %w", method, path, statusError(resp))
	}
	data, err := readReply(resp.Body)
	if err != nil {
		return successReply{}, unavailable(method, path, err)
	}
	return successReply{header: resp.Header, body: data}, nil
}

// readReply reads a whole reply body. A body above maxReplyBytes is an error.
func readReply(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxReplyBytes {
		return nil, fmt.Errorf("reply exceeds %d bytes", maxReplyBytes)
	}
	return data, nil
}

// statusError returns the error of a reply with a status other than 2xx. It reads
// the start of the body, since the connection is not reused if the body is unread.
func statusError(resp *http.Response) *StatusError {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorReplyBytes))
	return &StatusError{Code: resp.StatusCode, Body: string(bytes.TrimSpace(body))}
}

func unavailable(method, path string, err error) error {
	return fmt.Errorf("%w: %s %s: %w", storage.ErrUnavailable, method, path, err)
}
