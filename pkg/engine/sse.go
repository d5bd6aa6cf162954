package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Errors of an event stream.
var (
	errEventTooLong   = errors.New("event is longer than the limit")
	errInvalidEventID = errors.New("event id is not a number")
)

// noEventID is the id of an event that has no id field.
const noEventID = -1

// readBufferSize is the size in bytes of the read buffer of a stream. It holds
// several chunks.
const readBufferSize = 2048

// sseEvent is one server-sent event.
type sseEvent struct {
	id   int // noEventID if absent
	data []byte
}

// sseReader reads the fields id and data of server-sent events and skips the others.
type sseReader struct {
	in    *bufio.Reader
	limit int    // size limit in bytes of a line and of the data of an event
	line  []byte // assembles a line that is longer than the read buffer
}

// newSSEReader returns a reader with a size limit in bytes per line and per event.
func newSSEReader(in io.Reader, limit int) *sseReader {
	return &sseReader{in: bufio.NewReaderSize(in, readBufferSize), limit: limit}
}

// next returns the next event that has data. It returns io.EOF at the end of the
// input; an incomplete event before it is discarded.
func (r *sseReader) next() (sseEvent, error) {
	event := sseEvent{id: noEventID}
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return sseEvent{}, err
		}
		if len(line) == 0 {
			if hasData {
				return event, nil
			}
			event = sseEvent{id: noEventID}
			continue
		}
		isData, err := event.addLine(line, hasData, r.limit)
		if err != nil {
			return sseEvent{}, err
		}
		hasData = hasData || isData
	}
}

// addLine applies one line to the event and reports whether it is a data line.
// hasData states whether the event already has a data line.
func (e *sseEvent) addLine(line []byte, hasData bool, limit int) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil {
			return false, fmt.Errorf("%w: %q", errInvalidEventID, value)
		}
		e.id = int(id)
	case "data":
		if hasData {
			e.data = append(e.data, '\n')
		}
		if len(e.data)+len(value) > limit {
			return false, errEventTooLong
		}
		e.data = append(e.data, value...)
		return true, nil
	}
	return false, nil
}

// readLine returns the next line without its line end. The result is valid until
// the next call.
func (r *sseReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if len(r.line)+len(part) > r.limit {
			return nil, errEventTooLong
		}
		switch {
		case err == nil && len(r.line) == 0:
			return trimLineEnd(part), nil
		case err == nil:
			r.line = append(r.line, part...)
			return trimLineEnd(r.line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
		r.line = append(r.line, part...)
	}
}

// trimLineEnd removes a trailing LF or CR LF.
func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
