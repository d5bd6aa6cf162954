package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Response is an HTTP response whose body is read as it arrives.
type Response struct {
	Status int
	Header http.Header
	Length int64 // length of the body in bytes; -1: unknown
	// Framing says what marks the end of the body.
	Framing Framing
	// WillClose reports that the target closes the connection after the response.
	WillClose bool

	exchange *exchange
	body     io.ReadCloser
	complete bool
	once     sync.Once
}

func newResponse(e *exchange, response *http.Response) *Response {
	e.conn.applyKeepAlive(response.Header.Get("Keep-Alive"))
	return &Response{
		Status:    response.StatusCode,
		Header:    response.Header,
		Length:    response.ContentLength,
		Framing:   framingOf(response),
		WillClose: response.Close,
		exchange:  e,
		body:      response.Body,
	}
}

// Read reads the body. It returns io.EOF only at the end of the complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, fmt.Errorf("response truncated: %w", err)
	}
	return n, nil
}

// ReadWhole reads the rest of the body. A body of more than limit bytes is an
// error.
func (r *Response) ReadWhole(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: body exceeds %d bytes", ErrInvalidResponse, limit)
	}
	return data, nil
}

// Discard reads the rest of the body so that the connection can be reused. If the body
// has more than limit bytes or does not end within timeout, Close closes the connection.
func (r *Response) Discard(limit int64, timeout time.Duration) {
	if r.exchange.conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return // the connection is closed
	}
	_, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	if err == nil && r.exchange.conn.SetReadDeadline(time.Time{}) != nil {
		r.complete = false
	}
}

// Interrupt makes reads of the body fail, also one in progress. The connection is not used
// again.
func (r *Response) Interrupt() {
	_ = r.exchange.conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends reads as well
}

// Close ends the exchange. The connection is reused if the complete response was
// read.
func (r *Response) Close() {
	r.once.Do(func() {
		if r.complete && !r.WillClose {
			r.exchange.release()
			return
		}
		r.exchange.closeConn()
	})
}
