// Package remote implements the platform interfaces of package storage over HTTP
// and JSON.
package remote

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Client calls the platform at one base URL. It is safe for concurrent use.
//
// Errors for transport failures, timeouts, 429 and 5xx wrap storage.ErrUnavailable.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
	members memberCache
}

var (
	_ storage.Table   = (*Client)(nil)
	_ storage.Members = (*Client)(nil)
)

// New returns a client of the platform at baseURL, such as
// "http://127.0.0.1:7000". The timeout limits each call, including the reading of
// its reply; with 0, only the caller's context limits it.
func New(baseURL string, timeout time.Duration) *Client {
	return &Client{
		baseURL: strings.TrimRight(baseURL, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: newTransport()},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Commit implements storage.Table.
func (c *Client) Commit(ctx context.Context, txn storage.Txn) (storage.Outcome, error) {
	var outcome storage.Outcome
	err := c.callJSON(ctx, http.MethodPost, "/table/commit", txn, &outcome)
	return outcome, err
}

// Get implements storage.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]storage.Row, error) {
	var rows []storage.Row
	if err := c.callJSON(ctx, http.MethodPost, "/table/get", getRequest{Keys: keys}, &rows); err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, fmt.Errorf("%w: get of %d keys returned %d rows", storage.ErrUnavailable, len(keys), len(rows))
	}
	return rows, nil
}

// Scan implements storage.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	var rows []storage.Row
	req := scanRequest{Prefix: prefix, After: after, Limit: limit}
	err := c.callJSON(ctx, http.MethodPost, "/table/scan", req, &rows)
	return rows, err
}

// Objects returns a client of the object store of the same platform. It is a
// separate type because storage.Objects and storage.Table declare different Get
// methods.
func (c *Client) Objects() *ObjectClient {
	return &ObjectClient{client: c}
}
