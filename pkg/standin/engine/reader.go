package engine

import (
	"net/http"
	"slices"
)

// subscribe registers a reader of a stream. The returned channel signals new events.
func (e *Engine) subscribe(s *stream) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	ready := make(chan struct{}, 1)
	s.readers = append(s.readers, ready)
	return ready
}

// unsubscribe removes a reader. The stream keeps running without it.
func (e *Engine) unsubscribe(s *stream, ready chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers = slices.DeleteFunc(s.readers, func(r chan struct{}) bool { return r == ready })
}

// sendEvents sends the events of a stream, starting at index from, until the stream
// ends or the client disconnects. A cancelled stream ends without the done marker.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	ready := e.subscribe(s)
	defer e.unsubscribe(s, ready)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(headerStream, s.id)
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	var buf []byte
	for last := false; !last; {
		e.mu.Lock()
		buf, from, last = s.render(buf[:0], from)
		e.mu.Unlock()
		if _, err := w.Write(buf); err != nil {
			return
		}
		if out.Flush() != nil || last {
			return
		}
		select {
		case <-ready:
		case <-r.Context().Done():
			return
		}
	}
}
