package gateway

import (
	"bytes"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Fields and markers of server-sent events.
const (
	dataField       = "data: "
	eventEnd        = "\n\n"
	doneEvent       = "data: [DONE]\n\n"
	errorEventField = "event: error\n"
)

// writeDeadlineInterval is the minimum time between two updates of the write deadline.
// Each update resets a timer, which is too costly for every event.
const writeDeadlineInterval = time.Second

// eventSink sends a response as server-sent events.
type eventSink struct {
	x             *exchange
	buf           []byte
	headersSent   bool
	deadlineSetAt time.Time // time at which the write deadline was last set
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
	if len(ev.Data) > 0 { // empty if the target sends no usage chunk, only the done marker
		s.buf = appendData(s.buf, ev.Data)
	}
	s.buf = append(s.buf, doneEvent...)
	// The response is settled, so a write error changes nothing.
	_ = s.send()
}

func (s *eventSink) fail(e *verdict.Error) {
	s.buf = append(s.buf[:0], errorEventField...)
	s.buf = appendData(s.buf, encodeRefusal(e, s.x.id))
	_ = s.send()
}

// send writes the buffer to the caller and flushes the connection.
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

// prepareWrite extends the write deadline and sends the headers before the first event.
func (s *eventSink) prepareWrite() {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) >= writeDeadlineInterval {
		s.deadlineSetAt = now
		// The response writers of some tests do not support deadlines; the event is then
		// written without a time limit.
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

// appendData appends a server-sent event that contains data unchanged. Each line of
// data becomes a field of its own; clients join the lines again.
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
