package gateway

import "sync"

// streamReaders counts, for each stream, the requests of this daemon that read it. A
// stream is cancelled at its target only after its last reader is removed, because a
// retry with the same idempotency key may have attached to it.
type streamReaders struct {
	mu      sync.Mutex
	streams map[string]*readerState
}

type readerState struct {
	count     int
	unsettled bool // whether this daemon dispatched the stream and has not settled it
}

func newStreamReaders() *streamReaders {
	return &streamReaders{streams: make(map[string]*readerState)}
}

// addReader adds a reader of a stream. Unsettled is true if this reader dispatches the
// stream.
func (r *streamReaders) addReader(stream string, unsettled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.streams[stream]
	if !ok {
		c = &readerState{}
		r.streams[stream] = c
	}
	c.count++
	c.unsettled = c.unsettled || unsettled
}

// markSettled records that a stream was settled, so that no later reader settles it
// again.
func (r *streamReaders) markSettled(stream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.streams[stream]; ok {
		c.unsettled = false
	}
}

// removeReader removes a reader of a stream. It reports whether that was the last reader
// of a stream that this daemon dispatched and has not settled.
func (r *streamReaders) removeReader(stream string) (lastOfUnsettled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.streams[stream]
	if !ok {
		return false
	}
	c.count--
	if c.count > 0 {
		return false
	}
	delete(r.streams, stream)
	return c.unsettled
}
