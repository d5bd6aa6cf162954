package home

// openCalls maps the call ids of remote Reserve calls to the stream ids of their
// open reservations, and the stream ids to the call ids.
type openCalls struct {
	streams map[string]string // stream id by call id
	calls   map[string]string // call id by stream id
}

func newOpenCalls() openCalls {
	return openCalls{streams: make(map[string]string), calls: make(map[string]string)}
}

// add records a reservation. It ignores a call without an id: a call by this
// daemon itself, whose reservation is released by its stream id.
func (o openCalls) add(call, stream string) {
	if call == "" {
		return
	}
	o.streams[call] = stream
	o.calls[stream] = call
}

// remove deletes a reservation that was settled.
func (o openCalls) remove(stream string) {
	delete(o.streams, o.calls[stream])
	delete(o.calls, stream)
}

// stream returns the stream id of the open reservation of a call, "" if there is
// none.
func (o openCalls) stream(call string) string {
	return o.streams[call]
}
