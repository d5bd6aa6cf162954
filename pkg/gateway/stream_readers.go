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
	count     int  // number of readers
	unsettled bool // whether this daemon dispatched the stream and has not settled it
}

func newStreamReaders() *streamReaders {
	return &streamReaders{streams: make(map[string]*readerState)}
}

// addReader adds a reader of a stream. The argument unsettled is true if this reader
// dispatches the stream.
func (r *streamReaders) addReader(stream string, unsettled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.streams[stream]
	if !ok {
		state = &readerState{}
		r.streams[stream] = state
	}
	state.count++
	state.unsettled = state.unsettled || unsettled
}

// markSettled records that a stream was settled, so that no later reader settles it
// again.
func (r *streamReaders) markSettled(stream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, ok := r.streams[stream]; ok {
		state.unsettled = false
	}
}

// removeReader removes a reader of a stream. It returns true if that was the last
// reader of a stream that this daemon dispatched and has not settled.
func (r *streamReaders) removeReader(stream string) (mustSettle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.streams[stream]
	if !ok {
		return false
	}
	state.count--
	if state.count > 0 {
		return false
	}
	delete(r.streams, stream)
	return state.unsettled
}
