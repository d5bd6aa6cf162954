package forward

import (
	"bytes"
	"slices"
	"strconv"
)

// event is one server-sent event.
type event struct {
	raw []byte // includes the blank line that ends the event
	id  string // empty: the event has no id
}

// eventSplitter splits a byte stream into server-sent events.
type eventSplitter struct {
	pending []byte // bytes after the last complete event
}

var (
	eventEndLF   = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// add appends data to the stream and returns the events that it completes.
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

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte { return s.pending }

// eventLength returns the length of the first event in bytes, 0 if it is incomplete.
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

// eventID returns the id field of an event, empty if there is none.
func eventID(raw []byte) string {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isNewEvent reports whether the event with id a comes after the one with id b. Ids
// that are not numbers have no order: any id but b counts as new, as nothing shows
// that its event was sent already.
func isNewEvent(a, b string) bool {
	x, errX := strconv.ParseInt(a, 10, 64)
	y, errY := strconv.ParseInt(b, 10, 64)
	if errX != nil || errY != nil {
		return a == "" || a != b
	}
	return x > y
}
