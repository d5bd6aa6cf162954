package home

// openCalls knows which remote call each open reservation was granted to.
type openCalls struct {
	streams map[string]string // stream by call
	calls   map[string]string // call by stream
}

func newOpenCalls() openCalls {
	return openCalls{streams: make(map[string]string), calls: make(map[string]string)}
}

// granted records a reservation. Local calls have no name and are never released.
func (o openCalls) add(call, stream string) {
	if call == "" {
		return
	}
	o.streams[call] = stream
	o.calls[stream] = call
}

// ended forgets a reservation that was settled.
func (o openCalls) remove(stream string) {
	delete(o.streams, o.calls[stream])
	delete(o.calls, stream)
}

// stream returns the open reservation of a call, "" if there is none.
func (o openCalls) stream(call string) string {
	return o.streams[call]
}
