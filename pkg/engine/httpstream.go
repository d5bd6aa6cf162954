package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

const (
	// doneMarker is the data of the event that ends every complete stream.
	doneMarker = "[DONE]"
	// trailerTimeout limits the wait for the end of the HTTP response after the
	// done marker. Only a response read to its end makes the connection reusable.
	trailerTimeout = 50 * time.Millisecond
	// maxTrailerBytes limits the bytes read after the done marker.
	maxTrailerBytes = 512
)

// Errors of a stream.
var (
	errDoneMissing     = errors.New("stream ended without the done marker")
	errStreamMismatch  = errors.New("answer belongs to another stream")
	errEventOrder      = errors.New("event is out of order")
	errChunkAfterUsage = errors.New("chunk after the one with the usage")
	errStreamClosed    = errors.New("stream is closed")
)

// httpStream is a Stream that reads one HTTP response.
type httpStream struct {
	exchange      *exchange
	body          io.ReadCloser
	input         *idleReader
	events        *sseReader
	id            string // stream id
	namedByHeader bool   // whether the response header names the stream
	nextIndex     int    // index of the next event
	done          bool   // whether the done marker was read
	terminalErr   error  // error that every later Next returns, nil while the stream is usable
}

// Next implements Stream. The chunk with the usage is returned only after the
// done marker was read, as one event with Done set, so that the caller of Next
// can settle the request before it releases the last chunk. If the target sends
// no usage, the last event has neither data nor usage.
func (s *httpStream) Next() (Event, error) {
	if s.terminalErr != nil {
		return Event{}, s.terminalErr
	}
	if s.done {
		return Event{}, io.EOF
	}
	event, err := s.read()
	if err != nil {
		s.terminalErr = s.wrapReadError(err)
		s.exchange.end()
		return Event{}, s.terminalErr
	}
	return event, nil
}

// read returns the next event, or the error before wrapReadError converts it.
func (s *httpStream) read() (Event, error) {
	data, err := s.readData()
	if err != nil {
		return Event{}, err
	}
	if string(data) == doneMarker {
		s.done = true
		return Event{Index: s.nextIndex - 1, Done: true}, nil
	}
	event, err := s.decode(data)
	if err != nil || event.Usage == nil {
		return event, err
	}
	event.Data = bytes.Clone(event.Data) // the reader reuses its buffer
	marker, err := s.readData()
	if err != nil {
		return Event{}, err
	}
	if string(marker) != doneMarker {
		return Event{}, errChunkAfterUsage
	}
	s.done = true
	event.Done = true
	return event, nil
}

// readData returns the data of the next server-sent event and checks its id.
func (s *httpStream) readData() ([]byte, error) {
	raw, err := s.events.next()
	if errors.Is(err, io.EOF) {
		return nil, errDoneMissing
	}
	if err != nil {
		return nil, err
	}
	if raw.id != noEventID && raw.id != s.nextIndex {
		return nil, fmt.Errorf("%w: got %d, want %d", errEventOrder, raw.id, s.nextIndex)
	}
	s.nextIndex++
	return raw.data, nil
}

// decode converts the data of a chunk into an event.
func (s *httpStream) decode(data []byte) (Event, error) {
	c, err := decodeChunk(data)
	if err != nil {
		return Event{}, err
	}
	if c.ID != s.id && (c.ID != "" || !s.namedByHeader) {
		return Event{}, fmt.Errorf("%w: got %q, want %q", errStreamMismatch, c.ID, s.id)
	}
	event := Event{Index: s.nextIndex - 1, Data: data, Tokens: c.tokens()}
	if c.Usage == nil {
		return event, nil
	}
	usage, err := c.Usage.usage()
	if err != nil {
		return Event{}, err
	}
	event.Usage = &usage
	return event, nil
}

// wrapReadError converts the error of a failed read to an *Error. The target
// accepted the stream, so the verdict is MayHaveRun.
func (s *httpStream) wrapReadError(err error) *Error {
	cause := s.exchange.cause(err)
	targetDown := errors.Is(cause, errDoneMissing) || (s.input.readFailed && s.exchange.targetDown(cause))
	return &Error{Verdict: verdict.MayHaveRun, TargetDown: targetDown, Err: fmt.Errorf("read stream %s: %w", s.id, cause)}
}

// Close implements Stream. After the done marker it waits up to
// trailerTimeout for the end of the HTTP response.
func (s *httpStream) Close() error {
	if s.terminalErr == nil {
		s.terminalErr = &Error{Verdict: verdict.MayHaveRun, Err: errStreamClosed}
		if s.done {
			s.exchange.idleTimeout = trailerTimeout
			_, _ = io.CopyN(io.Discard, s.events.in, maxTrailerBytes)
		}
	}
	err := s.body.Close()
	s.exchange.end()
	return err
}
