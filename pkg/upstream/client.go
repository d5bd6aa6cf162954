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
)

const (
	// largeRequest is the size in bytes from which a request is written beside
	// reading its answer: a target may answer before it has read the whole body.
	largeRequest = 4096
	// maxStale bounds the answers to earlier requests skipped on a connection.
	maxStale = 4
	// maxStaleBody bounds the body of a skipped answer, in bytes.
	maxStaleBody = 1 << 20
	// pruneInterval is the time between two checks of all idle connections.
	pruneInterval = 2 * time.Second
	// forgetAfter drops the pool of an address without connections. A request that
	// has just looked the pool up must find it in use.
	forgetAfter = time.Minute
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	dialer *net.Dialer
	mu     sync.Mutex
	pools  map[string]*pool
	Opened func() // called for each new connection; may be nil
}

// New returns a client without connections.
func New() *Client {
	return &Client{dialer: Dialer(DialTimeout), pools: make(map[string]*pool)}
}

// Send sends a request to an address and returns once the header of its answer
// is there. At most limit connections to the address are open at a time (0: no
// bound). Errors are of type *SendError. The caller must close the answer.
// When ctx ends, the connection is closed.
func (c *Client) Send(ctx context.Context, addr string, r *Request, limit int) (*Response, error) {
	p := c.pool(addr)
	connection, err := c.connect(ctx, p, addr, limit)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	e := &exchange{conn: connection, pool: p, request: r, written: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { _ = connection.Close() }) // ends blocked reads and writes
	response, err := e.run()
	if err == nil {
		return response, nil
	}
	e.abandon()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return nil, &SendError{Sent: true, Err: err}
}

func (c *Client) pool(addr string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		p = &pool{}
		c.pools[addr] = p
	}
	p.lookedUp = time.Now()
	return p
}

func (c *Client) connect(ctx context.Context, p *pool, addr string, limit int) (*conn, error) {
	idle, mayOpen := p.take(time.Now(), limit)
	if idle != nil {
		return idle, nil
	}
	if !mayOpen {
		return nil, ErrConnLimit
	}
	if c.Opened != nil {
		c.Opened()
	}
	opened, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.lost()
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	return newConn(opened), nil
}

// Run closes idle connections in time until ctx ends.
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
		if p.prune(now) && now.Sub(p.lookedUp) > forgetAfter {
			delete(c.pools, addr)
		}
	}
}

// exchange is one request and its answer on a connection.
type exchange struct {
	conn    *conn
	pool    *pool
	request *Request
	written chan error // the outcome of the write; capacity 1
	stop    func() bool
}

func (e *exchange) run() (*Response, error) {
	head := e.request.encode()
	if len(head)+len(e.request.Body) > largeRequest {
		go func() { e.written <- e.write(head) }()
	} else {
		e.written <- e.write(head)
	}
	// A target that rejects a request early may close its side while the request
	// is written, so that the answer is read even if the write has failed.
	answer, err := e.readAnswer()
	if err != nil {
		return nil, errors.Join(err, e.writeError())
	}
	return newResponse(e, answer), nil
}

func (e *exchange) write(head []byte) error {
	buffers := net.Buffers{head, e.request.Body}
	_, err := buffers.WriteTo(e.conn.Conn)
	return err
}

// writeError returns the error of the write if it has ended with one.
func (e *exchange) writeError() error {
	select {
	case err := <-e.written:
		return err
	default:
		return nil
	}
}

// readAnswer skips interim answers and answers to earlier requests.
func (e *exchange) readAnswer() (*http.Response, error) {
	for range maxStale {
		answer, err := http.ReadResponse(e.conn.reader, &http.Request{Method: e.request.Method})
		if err != nil {
			return nil, readError(err)
		}
		if answer.StatusCode >= 100 && answer.StatusCode < 200 {
			continue
		}
		if e.request.ID == "" || answer.Header.Get(e.request.EchoName) == e.request.ID {
			return answer, nil
		}
		if answer.Header.Get(e.request.EchoName) == "" {
			return nil, fmt.Errorf("%w: status %d without the id of the request", ErrBadMessage, answer.StatusCode)
		}
		if err := skipBody(answer); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: only answers to other requests", ErrBadMessage)
}

func skipBody(answer *http.Response) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxStaleBody))
	if err != nil {
		return fmt.Errorf("skip an answer to another request: %w", err)
	}
	if skipped == maxStaleBody || answer.Close {
		return fmt.Errorf("%w: an answer to another request does not end", ErrBadMessage)
	}
	return nil
}

// readError tells a broken connection from bytes that are no answer.
func readError(err error) error {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrBadMessage, err)
}

// abandon closes the connection.
func (e *exchange) abandon() {
	e.stop()
	_ = e.conn.Close() // the connection is given up
	e.pool.lost()
}

// release returns the connection to the pool if both sides are through with it.
func (e *exchange) release() {
	select {
	case err := <-e.written:
		if err == nil && e.stop() && e.conn.reader.Buffered() == 0 {
			e.pool.put(e.conn, time.Now())
			return
		}
	default:
	}
	e.abandon()
}
