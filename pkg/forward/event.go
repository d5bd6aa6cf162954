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
	count   int    // complete events so far
}

var idField = []byte("id:")

// lineEnds are the bytes that end a line, alone or as CR LF.
const lineEnds = "\r\n"

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
	s.count += len(events)
	return events
}

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte { return s.pending }

// withinEvent reports whether the stream so far ends within an event: bytes other than
// blank lines and whole comment lines follow the last complete one.
func (s *eventSplitter) withinEvent() bool {
	for rest := s.pending; len(rest) > 0; {
		n := bytes.IndexAny(rest, lineEnds)
		if n < 0 || (n > 0 && rest[0] != ':') {
			return true
		}
		rest = rest[n+1:]
	}
	return false
}

// eventLength returns the length of the first event in bytes, 0 if it is incomplete.
// A blank line ends an event; blank lines before its first line belong to it. A CR at
// the end of data ends a line: if a LF follows, it comes before the next event.
func eventLength(data []byte) int {
	hasLine := false
	for start := 0; ; {
		n := bytes.IndexAny(data[start:], lineEnds)
		if n < 0 {
			return 0
		}
		end := start + n + 1
		if data[end-1] == '\r' && end < len(data) && data[end] == '\n' {
			end++
		}
		if n == 0 && hasLine {
			return end
		}
		hasLine = hasLine || n > 0
		start = end
	}
}

// eventID returns the id field of an event, empty if there is none.
func eventID(raw []byte) string {
	for line := range bytes.FieldsFuncSeq(raw, isLineEnd) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

func isLineEnd(r rune) bool { return r == '\r' || r == '\n' }

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
