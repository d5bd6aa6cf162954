package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bandwidth"
	"github.com/peppertrail/peppertrail/pkg/httpstrict"
)

const (
	// concurrentWriteSize is the size in bytes above which a request is written
	// while its response is read: a target may respond before it has read the whole
	// body.
	concurrentWriteSize = 4096
	// maxResponsesRead limits the responses that are read for one request, including
	// interim responses and responses to earlier requests.
	maxResponsesRead = 4
	// maxSkippedBytes is the size in bytes below which the body of a response to an
	// earlier request is skipped.
	maxSkippedBytes = 1 << 20
	// maxQuotedBytes limits the text of an error that quotes a target, in bytes.
	maxQuotedBytes = 200
	// pruneInterval is the time between two checks of all idle connections.
	pruneInterval = 2 * time.Second
	// unusedPoolTTL is the time after which the pool of an address without
	// connections is removed. It must be long enough that a pool which a request has
	// just looked up is not removed before the request opens a connection.
	unusedPoolTTL = time.Minute
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	dialer *net.Dialer
	mu     sync.Mutex
	pools  map[string]*pool
	// Meter counts the bytes of all connections; may be nil.
	Meter *bandwidth.Meter
	// RoundTrips takes the round-trip time of the connection of each response; may be nil.
	RoundTrips *bandwidth.RoundTrips
	OnDial     func() // called before each new connection is dialed; may be nil
}

// New returns a client with no open connections.
func New() *Client {
	return &Client{dialer: Dialer(DialTimeout), pools: make(map[string]*pool)}
}

// Send sends a request to an address and returns when the header of the response
// has been read. At most limit connections to the address are open at a time (0:
// no limit). Errors are of type *SendError. The caller must close the response.
// When ctx ends, the connection is closed.
func (c *Client) Send(ctx context.Context, addr string, r *Request, limit int) (*Response, error) {
	p := c.pool(addr)
	connection, err := c.connect(ctx, p, addr, limit, r.ID)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	e := &exchange{conn: connection, pool: p, request: r, writeDone: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { _ = connection.Close() }) // unblocks reads and writes
	response, err := e.run()
	if err == nil {
		c.sampleRoundTrip(connection)
		return response, nil
	}
	e.closeConn()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
		if connection.headOverdue() {
			err = fmt.Errorf("%w: %w within the header", ErrInvalidResponse, err)
		}
	}
	return nil, &SendError{Sent: true, Err: err}
}

// sampleRoundTrip takes the round-trip time of a connection.
func (c *Client) sampleRoundTrip(connection *conn) {
	if !c.RoundTrips.Wanted() {
		return
	}
	if sample, ok := bandwidth.SampleRoundTrip(connection.Conn); ok {
		c.RoundTrips.Add(sample)
	}
}

// Available reports whether a request to an address would get a connection within the limit
// of Send. Another request may take it first.
func (c *Client) Available(addr string, limit int) bool {
	c.mu.Lock()
	p := c.pools[addr]
	c.mu.Unlock()
	return p == nil || p.available(limit)
}

func (c *Client) pool(addr string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		p = &pool{}
		c.pools[addr] = p
	}
	p.lastUsed = time.Now()
	return p
}

// connect returns an idle connection on which no request with this id was sent, or opens
// one.
func (c *Client) connect(ctx context.Context, p *pool, addr string, limit int, id string) (*conn, error) {
	idle, mayOpen := p.get(time.Now(), limit, id)
	if idle != nil {
		return idle, nil
	}
	if !mayOpen {
		return nil, ErrConnLimit
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	opened, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.removeConn()
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	return newConn(httpstrict.NewConn(opened), c.Meter), nil
}

// Run periodically closes idle connections that can no longer be used, until ctx
// ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.prune(now)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.pools {
		if p.prune(now) && now.Sub(p.lastUsed) > unusedPoolTTL {
			delete(c.pools, addr)
		}
	}
}

// exchange is one request and its response on a connection.
type exchange struct {
	conn      *conn
	pool      *pool
	request   *Request
	writeDone chan error  // receives the result of writing the request; capacity 1
	stop      func() bool // unregisters the function that closes the connection when the context ends
}

func (e *exchange) run() (*Response, error) {
	e.conn.recordSent(e.request.ID)
	head := e.request.encode()
	if len(head)+len(e.request.Body) > concurrentWriteSize {
		go func() { e.writeDone <- e.write(head) }()
	} else {
		e.writeDone <- e.write(head)
	}
	// A target that rejects a request early may close its side while the request is
	// being written. The response is therefore read even if the write has failed.
	response, err := e.readResponse()
	if err != nil {
		return nil, errors.Join(err, e.writeError())
	}
	return newResponse(e, response), nil
}

func (e *exchange) write(head []byte) error {
	n, err := e.conn.WriteBuffers(&net.Buffers{head, e.request.Body})
	e.conn.input.meter.AddSent(int(n))
	return err
}

// writeError returns the error of writing the request, or nil if the write
// succeeded or is still in progress.
func (e *exchange) writeError() error {
	select {
	case err := <-e.writeDone:
		return err
	default:
		return nil
	}
}

// readResponse returns the response to the request. It skips interim responses
// and responses to earlier requests.
func (e *exchange) readResponse() (*http.Response, error) {
	for range maxResponsesRead {
		response, err := e.conn.readHead(e.request.Method)
		if err != nil {
			return nil, classifyReadError(err)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if e.request.ID == "" || response.Header.Get(e.request.EchoHeader) == e.request.ID {
			return response, nil
		}
		if response.Header.Get(e.request.EchoHeader) == "" {
			return nil, fmt.Errorf("%w: status %d without the request id", ErrInvalidResponse, response.StatusCode)
		}
		if err := skipBody(response); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: received only interim responses and responses to earlier requests", ErrInvalidResponse)
}

func skipBody(response *http.Response) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
	if err != nil {
		return fmt.Errorf("skip the response to an earlier request: %w", err)
	}
	if skipped == maxSkippedBytes || response.Close {
		return fmt.Errorf("%w: response to an earlier request is too long or is the last one on its connection", ErrInvalidResponse)
	}
	return nil
}

// classifyReadError returns err unchanged if the connection failed, and wraps it
// in ErrInvalidResponse if the target sent bytes that are not an HTTP response. The text
// of net/http may quote a whole line of them and is shortened.
func classifyReadError(err error) error {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return fmt.Errorf("%w: %.*s", ErrInvalidResponse, maxQuotedBytes, err)
}

// closeConn closes the connection and removes it from its pool.
func (e *exchange) closeConn() {
	e.stop()
	_ = e.conn.Close() // the connection is not used again
	e.pool.removeConn()
}

// release returns the connection to the pool if the request was written in full
// and no unread bytes are left. Otherwise it closes the connection, also after a request
// without an id: a second response to it could not be told from that to the next one.
func (e *exchange) release() {
	select {
	case err := <-e.writeDone:
		if err == nil && e.stop() && e.conn.reader.Buffered() == 0 && e.request.ID != "" {
			e.pool.put(e.conn, time.Now())
			return
		}
	default:
	}
	e.closeConn()
}
