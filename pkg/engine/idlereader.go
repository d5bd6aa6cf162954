package engine

import "io"

// idleReader reads the body of an answer. The idle timer of the exchange runs
// only during a read, so that a slow consumer is not taken for a dead target.
type idleReader struct {
	body   io.Reader
	x      *exchange
	failed bool // a read failed before the end of the answer
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	r.x.timer.Reset(r.x.idle)
	n, err := r.body.Read(p)
	r.x.timer.Stop()
	if err != nil && err != io.EOF {
		r.failed = true
	}
	return n, err
}
