package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/standin/replica"
)

// streamFramings are the ways in which targets frame an event stream.
var streamFramings = map[string]replica.Faults{
	"chunks":     {},
	"connection": {FrameByClose: true},
}

// Guards against a stream that ends within an event and reaches the caller as complete.
func TestStreamEndingWithinAnEventIsNotComplete(t *testing.T) {
	for name, faults := range streamFramings {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, 2)
			faults.AbortAfterEvents, faults.AbortMidEvent, faults.AbortRegularly = 3, true, true
			r.setFaults(faults)
			got := r.post("r1", "/stream/x")
			assert.Assert(t, got.err != nil, "the caller sees no error on an incomplete stream: %q", got.body)
			assert.Equal(t, got.body, eventStream("r1", 3))
			assert.Equal(t, r.totalRuns(), 1)
		})
	}
}

// Guards against a resumable stream that is not resumed after it ended within an event.
func TestStreamEndingWithinAnEventIsResumed(t *testing.T) {
	for name, faults := range streamFramings {
		t.Run(name, func(t *testing.T) {
			resumed := 0
			for range 10 { // a fixture each, as the first target is chosen at random
				r := newFixture(t, 2)
				r.setFaults(faults)
				broken := faults
				broken.AbortAfterEvents, broken.AbortMidEvent, broken.AbortRegularly = 2, true, true
				r.replicas[0].SetFaults(broken)
				got := r.post("r1", "/resumable/x")
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, eventStream("r1", 5))
				resumed += r.totalRuns() - 1
			}
			assert.Assert(t, resumed > 0, "no stream was resumed")
		})
	}
}

// Guards against a success without any event from a target that closed its connection.
func TestStreamWithoutEventsThatEndsWithItsConnectionIsAnError(t *testing.T) {
	r := newFixture(t, 1)
	r.replicas[0].EventCount = 0
	r.setFaults(replica.Faults{FrameByClose: true})
	assert.Equal(t, r.post("r1", "/stream/x").status, http.StatusBadGateway)
}

// Guards against rejecting a whole stream because it has neither a length nor chunks.
func TestWholeStreamThatEndsWithItsConnectionIsForwarded(t *testing.T) {
	r := newFixture(t, 1)
	r.setFaults(replica.Faults{FrameByClose: true})
	for _, id := range []string{"r1", "r2"} {
		got := r.post(id, "/stream/x")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, eventStream(id, 5))
	}
}

// Guards against forwarding a stream as complete that was reset between two events.
func TestStreamThatIsResetIsNotComplete(t *testing.T) {
	r := newFixture(t, 1)
	r.setFaults(replica.Faults{FrameByClose: true, AbortAfterEvents: 3})
	assert.Assert(t, r.post("r1", "/stream/x").err != nil)
}

// Guards against taking blank lines or comments at the end of a stream for an incomplete event.
func TestBytesAfterLastEvent(t *testing.T) {
	for trailing, within := range map[string]bool{
		"": false, "\n": false, "\r\n\n": false, ": ping\n": false, "\r: ping\r\n": false,
		"i": true, "id: 4\n": true, "data: x\r\n": true, ": pi": true, "\n: ping\nid": true,
	} {
		splitter := &eventSplitter{}
		splitter.add([]byte(eventStream("r", 3) + trailing))
		assert.Equal(t, splitter.count, 3)
		assert.Equal(t, splitter.withinEvent(), within, "%q", trailing)
	}
}

// Guards against a broken stream that looks complete to a caller without chunked encoding.
func TestBrokenStreamResetsTheConnectionOfHTTP10Caller(t *testing.T) {
	r := newFixture(t, 1)
	r.setFaults(replica.Faults{AbortAfterEvents: 3})
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	d := dialect.Default()
	fmt.Fprintf(conn, "POST /stream/x HTTP/1.0\r\nHost: %s\r\n%s: r1\r\n%s: %s\r\nAccept: text/event-stream\r\nContent-Length: 0\r\n\r\n", testHostName, d.RequestID, d.Key, testKey)
	response, err := io.ReadAll(conn)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "error %v after %q", err, response)
}

// Guards against an event stream whose incomplete end is missed because of its media type.
func TestMediaTypeOfEventStream(t *testing.T) {
	for value, want := range map[string]bool{
		"text/event-stream": true, "text/event-stream; charset=utf-8": true, "Text/Event-Stream": true, "text/event-stream ;x": true,
		"": false, "text/event-streams": false, "application/json": false, "text/plain; a=text/event-stream": false,
	} {
		assert.Equal(t, isEventStream(http.Header{"Content-Type": {value}}), want, "%q", value)
	}
}
