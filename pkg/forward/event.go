package forward

import (
	"bytes"
	"slices"
	"strconv"
)

// event is one event of a stream, with the blank line that ends it.
type event struct {
	raw []byte
	id  string // empty: none
}

// eventSplitter cuts a stream of bytes into events.
type eventSplitter struct {
	pending []byte
}

var (
	eventEndLF   = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// add returns the events that end in data. They are valid until the next call.
func (s *eventSplitter) add(data []byte) []event {
	s.pending = append(s.pending, data...)
	var events []event
	start := 0
	for {
		length := eventLength(s.pending[start:])
		if length == 0 {
			break
		}
		raw := slices.Clone(s.pending[start : start+length])
		events = append(events, event{raw: raw, id: eventID(raw)})
		start += length
	}
	s.pending = s.pending[:copy(s.pending, s.pending[start:])]
	return events
}

// remainder returns the bytes behind the last event.
func (s *eventSplitter) remainder() []byte { return s.pending }

// eventLength returns the length of the first event, 0 if it is not whole.
func eventLength(data []byte) int {
	length := 0
	if i := bytes.Index(data, eventEndLF); i >= 0 {
		length = i + len(eventEndLF)
	}
	if i := bytes.Index(data, eventEndCRLF); i >= 0 && (length == 0 || i+len(eventEndCRLF) < length) {
		length = i + len(eventEndCRLF)
	}
	return length
}

func eventID(raw []byte) string {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isNewEvent reports whether event id a follows b. Ids that are no numbers count as
// following, as nothing tells that they were passed on.
func isNewEvent(a, b string) bool {
	x, errX := strconv.ParseInt(a, 10, 64)
	y, errY := strconv.ParseInt(b, 10, 64)
	if errX != nil || errY != nil {
		return a == "" || a != b
	}
	return x > y
}
