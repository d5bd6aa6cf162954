package gateway

import (
	"bytes"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Parts of server-sent events.
const (
	dataField  = "data: "
	eventEnd   = "\n\n"
	doneEvent  = "data: [DONE]\n\n"
	errorField = "event: error\n"
)

// stallCheck is the least time between two moves of the write deadline, since
// each one costs a timer change.
const writeDeadlineInterval = time.Second

// eventSink sends server-sent events.
type eventSink struct {
	x             *exchange
	buf           []byte
	headersSent   bool
	deadlineSetAt time.Time // when the write deadline was last moved
}

func newEventSink(x *exchange) *eventSink { return &eventSink{x: x} }

func (s *eventSink) reset() {}

func (s *eventSink) started() bool { return s.headersSent }

func (s *eventSink) prepare(engine.Event) error { return nil }

func (s *eventSink) addEvent(ev engine.Event) error {
	s.buf = appendData(s.buf[:0], ev.Data)
	return s.send()
}

func (s *eventSink) finish(ev engine.Event) {
	s.buf = s.buf[:0]
	if len(ev.Data) > 0 { // a target without a usage chunk ends with the done marker alone
		s.buf = appendData(s.buf, ev.Data)
	}
	s.buf = append(s.buf, doneEvent...)
	// The answer is settled, so it makes no difference whether the caller took it.
	_ = s.send()
}

func (s *eventSink) fail(e *verdict.Error) {
	s.buf = append(s.buf[:0], errorField...)
	s.buf = appendData(s.buf, encodeRefusal(e, s.x.id))
	_ = s.send()
}

// send writes the buffer and flushes it.
func (s *eventSink) send() error {
	if s.x.writeFailed {
		return errCallerDisconnected
	}
	s.prepareWrite()
	if _, err := s.x.w.Write(s.buf); err != nil {
		return errCallerDisconnected
	}
	if err := s.x.control.Flush(); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// begin sends the headers before the first event and moves the write deadline.
func (s *eventSink) prepareWrite() {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) >= writeDeadlineInterval {
		s.deadlineSetAt = now
		// Writers without deadlines, as in tests, write without one.
		_ = s.x.control.SetWriteDeadline(now.Add(s.x.server.opts.StallTimeout))
	}
	if s.headersSent {
		return
	}
	s.headersSent = true
	h := s.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(requestIDHeader, s.x.id)
	s.x.w.WriteHeader(http.StatusOK)
}

// appendData appends an event with the data as it is. Data with line breaks
// takes one field per line, which readers join again.
func appendData(buf, data []byte) []byte {
	for {
		line, rest, more := bytes.Cut(data, []byte("\n"))
		buf = append(buf, dataField...)
		buf = append(buf, line...)
		if !more {
			return append(buf, eventEnd...)
		}
		buf = append(buf, '\n')
		data = rest
	}
}
