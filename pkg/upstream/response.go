package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Response is an answer whose body is still arriving.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; -1: not announced
	// Leaving says that the target closes the connection after the answer.
	Leaving bool

	exchange *exchange
	body     io.ReadCloser
	whole    bool
	once     sync.Once
}

func newResponse(e *exchange, answer *http.Response) *Response {
	e.conn.noteKeepAlive(answer.Header.Get("Keep-Alive"))
	return &Response{
		Status:   answer.StatusCode,
		Header:   answer.Header,
		Length:   answer.ContentLength,
		Leaving:  answer.Close,
		exchange: e,
		body:     answer.Body,
	}
}

// Read reads the body. It returns io.EOF only after the whole body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, fmt.Errorf("answer broken off: %w", err)
	}
	return n, nil
}

// ReadWhole reads the rest of the body, at most limit bytes.
func (r *Response) ReadWhole(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: body exceeds %d bytes", ErrBadMessage, limit)
	}
	return data, nil
}

// Close ends the exchange. The connection is reused if the whole answer was read.
func (r *Response) Close() {
	r.once.Do(func() {
		if r.whole && !r.Leaving {
			r.exchange.release()
			return
		}
		r.exchange.abandon()
	})
}
