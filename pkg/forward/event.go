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

// maxEventBytes is the maximum size of an event, in bytes.
const maxEventBytes = 1 << 20

// eventSplitter splits a byte stream into server-sent events.
type eventSplitter struct {
	pending []byte // bytes after the last complete event
	scan    eventScan
	count   int   // complete events so far
	outputs int64 // complete events with data so far
	// responseHead reports that the head of a response follows the last complete event. It
	// would pass for an event, as it also ends with a blank line.
	responseHead bool
}

// eventScan is how far the first event of some data has been scanned. The scan goes on
// from there when more data arrives.
type eventScan struct {
	lineStart int  // start of the line that is not complete
	scanned   int  // end of the scanned part of that line
	hasLine   bool // a line that is not blank comes before lineStart
}

var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// statusLineStart is the start of the status line of a response.
var statusLineStart = []byte("HTTP/")

// lineEnds are the bytes that end a line, alone or as CR LF.
const lineEnds = "\r\n"

// add appends data to the stream and returns the events that it completes.
func (s *eventSplitter) add(data []byte) []event {
	s.pending = append(s.pending, data...)
	var events []event
	start := 0
	for {
		length := s.scan.eventLength(s.pending[start:])
		if length == 0 {
			break
		}
		raw := slices.Clone(s.pending[start : start+length])
		if s.responseHead = bytes.HasPrefix(bytes.TrimLeft(raw, lineEnds), statusLineStart); s.responseHead {
			break
		}
		events = append(events, event{raw: raw, id: eventID(raw)})
		if hasData(raw) {
			s.outputs++
		}
		start += length
		s.scan = eventScan{}
	}
	s.pending = s.pending[:copy(s.pending, s.pending[start:])]
	if cap(s.pending) > ownEventBytes && len(s.pending) <= ownEventBytes/2 {
		s.pending = slices.Clone(s.pending) // frees the memory of a large event
	}
	s.count += len(events)
	return events
}

// size returns the memory that the incomplete event takes, in bytes.
func (s *eventSplitter) size() int { return cap(s.pending) }

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

// tooLong reports whether the event after the last complete one exceeds maxEventBytes.
func (s *eventSplitter) tooLong() bool { return len(s.pending) > maxEventBytes }

// eventLength returns the length of the first event in bytes, 0 if it is incomplete.
// data must begin with the data of the previous call, unless the scan is new. A blank
// line ends an event; blank lines before its first line belong to it. A CR at the end
// of data ends a line: if a LF follows, it comes before the next event.
func (s *eventScan) eventLength(data []byte) int {
	for {
		n := bytes.IndexAny(data[s.scanned:], lineEnds)
		if n < 0 {
			s.scanned = len(data)
			return 0
		}
		s.scanned += n
		end := s.scanned + 1
		if data[end-1] == '\r' && end < len(data) && data[end] == '\n' {
			end++
		}
		blank := s.scanned == s.lineStart
		if blank && s.hasLine {
			return end
		}
		if data[end-1] == '\r' && end == len(data) {
			return 0 // a LF that follows belongs to this line end
		}
		s.hasLine = s.hasLine || !blank
		s.lineStart, s.scanned = end, end
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

// hasData reports whether an event has a data field.
func hasData(raw []byte) bool {
	for line := range bytes.FieldsFuncSeq(raw, isLineEnd) {
		if rest, ok := bytes.CutPrefix(line, dataField); ok && (len(rest) == 0 || rest[0] == ':') {
			return true
		}
	}
	return false
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
