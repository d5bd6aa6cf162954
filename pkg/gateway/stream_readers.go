package gateway

import "sync"

// readers counts the requests of this daemon that read each stream. A stream
// is cancelled at its target only when its last reader leaves, because a retry
// with the same key may have attached to it.
type streamReaders struct {
	mu      sync.Mutex
	streams map[string]*readerState
}

type readerState struct {
	count     int
	unsettled bool // this daemon dispatched the stream and has not settled it
}

func newStreamReaders() *streamReaders {
	return &streamReaders{streams: make(map[string]*readerState)}
}

// join adds a reader. Owned is set by the reader that dispatches the stream.
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

// disown records that a stream was settled, so that no later reader settles it again.
func (r *streamReaders) markSettled(stream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.streams[stream]; ok {
		c.unsettled = false
	}
}

// leave removes a reader. It reports whether it was the last one of a stream
// that this daemon dispatched.
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
