package engine

import "io"

// idleReader reads a response body. The idle timer of the exchange runs only
// during a read, so that a slow consumer does not make the target count as down.
type idleReader struct {
	body       io.Reader
	exchange   *exchange
	readFailed bool // whether a read failed before the end of the response
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	r.exchange.idleTimer.Reset(r.exchange.idleTimeout)
	n, err := r.body.Read(p)
	r.exchange.idleTimer.Stop()
	if err != nil && err != io.EOF {
		r.readFailed = true
	}
	return n, err
}
