package gateway

import "sync"

// readers counts the requests of this daemon that read each stream. A stream
// is cancelled at its target only when its last reader leaves, because a retry
// with the same key may have attached to it.
type readers struct {
	mu      sync.Mutex
	streams map[string]*readerCount
}

type readerCount struct {
	open  int
	owned bool // this daemon dispatched the stream and has not settled it
}

func newReaders() *readers {
	return &readers{streams: make(map[string]*readerCount)}
}

// join adds a reader. Owned is set by the reader that dispatches the stream.
func (r *readers) join(stream string, owned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.streams[stream]
	if !ok {
		c = &readerCount{}
		r.streams[stream] = c
	}
	c.open++
	c.owned = c.owned || owned
}

// disown records that a stream was settled, so that no later reader settles it again.
func (r *readers) disown(stream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.streams[stream]; ok {
		c.owned = false
	}
}

// leave removes a reader. It reports whether it was the last one of a stream
// that this daemon dispatched.
func (r *readers) leave(stream string) (lastOfOwned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.streams[stream]
	if !ok {
		return false
	}
	c.open--
	if c.open > 0 {
		return false
	}
	delete(r.streams, stream)
	return c.owned
}
