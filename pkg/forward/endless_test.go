package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/dialect"
)

const (
	// endlessSentAtMost is how many bytes an endless target sends before it stops and
	// leaves its connection open, so that a host without a limit does not use up the
	// memory.
	endlessSentAtMost = 64 << 20
	// endlessTakenAtMost is the number of bytes that a host with a limit takes off an
	// endless target, including those in socket buffers.
	endlessTakenAtMost = 48 << 20
	// lateAfterDeadline is how long after the deadline of a request its end is late.
	lateAfterDeadline = 250 * time.Millisecond
)

// endlessTarget is a target that answers a request with a start and then a unit again
// and again, until its peer closes the connection.
type endlessTarget struct {
	start, unit string // {id} stands for the id of the request
	pause       time.Duration
	listener    net.Listener
	taken       chan int // bytes sent on each closed connection
	requests    atomic.Int64
}

func startEndlessTarget(t *testing.T, start, unit string, pause time.Duration) *endlessTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	e := &endlessTarget{start: start, unit: unit, pause: pause, listener: l, taken: make(chan int, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endlessTarget) target(id string) balance.Target {
	return balance.Target{ID: id, Service: testService, Addr: e.listener.Addr().String(), Slots: 8}
}

func (e *endlessTarget) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	request, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	e.requests.Add(1)
	sent := 0
	send := func(text string) bool {
		n, err := io.WriteString(conn, strings.ReplaceAll(text, "{id}", request.Header.Get(dialect.Default().RequestID)))
		sent += n
		return err == nil
	}
	unit := e.unit
	if e.pause == 0 {
		unit = strings.Repeat(unit, 1+(16<<10)/len(unit))
	}
	for open := send(e.start); open && sent < endlessSentAtMost; open = send(unit) {
		time.Sleep(e.pause)
	}
	_, _ = io.Copy(io.Discard, r) // until the peer closes
	e.taken <- sent
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns how many lines contain a text.
func (b *logBuffer) lines(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newEndlessFixture returns a handler whose only target is e, with a log.
func newEndlessFixture(t *testing.T, e *endlessTarget) (*fixture, *logBuffer) {
	t.Helper()
	r := newFixture(t, 0)
	logged := &logBuffer{}
	r.handler.Log = &log.Logger{Writer: log.IOWriter{Writer: logged}}
	r.handler.Targets.Apply([]balance.Target{e.target("e0")})
	return r, logged
}

// checkSettled requires that no tokens stay reserved.
func (r *fixture) checkSettled() {
	r.t.Helper()
	for deadline := time.Now().Add(time.Second); ; time.Sleep(5 * time.Millisecond) {
		reserved := int64(0)
		for _, s := range r.budgets.Status() {
			reserved += s.Reserved
		}
		if reserved == 0 {
			return
		}
		if time.Now().After(deadline) {
			r.t.Fatalf("%d tokens are still reserved", reserved)
		}
	}
}

// failedShare returns the share of failed answers of the only target.
func (r *fixture) failedShare() float64 { return r.handler.Targets.Status(time.Now())[0].FailedShare }

const (
	headOK     = "HTTP/1.1 200 OK\r\nPeppertrail-Request: {id}\r\n"
	headStream = headOK + "Content-Type: text/event-stream\r\n"
)

// endlessAnswers are answers that do not end, as fast as the connection carries them.
var endlessAnswers = map[string]struct {
	path, start, unit string
	reason            string // in the line that logs the failed attempt
}{
	"line":             {"/safe/x", "", "garbage", "not a status line"},
	"header lines":     {"/unsafe/x", headOK, "X-More: value\r\n", "header exceeds"},
	"interim answers":  {"/unsafe/x", "", "HTTP/1.1 100 Continue\r\n\r\n", "interim responses"},
	"plain, close":     {"/unsafe/x", headOK + "\r\n", "garbage", "body exceeds"},
	"plain, chunks":    {"/safe/x", headOK + "Transfer-Encoding: chunked\r\n\r\n", "70\r\n" + strings.Repeat("garbage ", 14) + "\r\n", "body exceeds"},
	"plain, extension": {"/unsafe/x", headOK + "Transfer-Encoding: chunked\r\n\r\n7;", "garbage", "line too long"},
	"plain, trailers":  {"/unsafe/x", headOK + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: value\r\n", "trailer"},
	"error, close":     {"/unsafe/x", "HTTP/1.1 500 Failed\r\nPeppertrail-Request: {id}\r\n\r\n", "garbage", "body exceeds"},
	"refusal, close":   {"/unsafe/x", "HTTP/1.1 503 Full\r\nPeppertrail-Request: {id}\r\n\r\n", "garbage", "body exceeds"},
	"event line":       {"/stream/x", headStream + "\r\n", "garbage", "event_too_long"},
	"event chunks":     {"/stream/x", headStream + "Transfer-Encoding: chunked\r\n\r\n", "7\r\ngarbage\r\n", "event_too_long"},
	"event lines":      {"/stream/x", headStream + "\r\nid: 1\n", "data: x\n", "event_too_long"},
	"blank lines":      {"/stream/x", headStream + "\r\n", "\n", "event_too_long"},
	"comments":         {"/stream/x", headStream + "\r\n", ": x\n", "event_too_long"},
	"later event":      {"/stream/x", headStream + "\r\nid: 1\ndata: x\n\n", "garbage", "event_too_long"},
	"events":           {"/stream/x", headStream + "\r\n", "data: x\n\n", "too_many_events"},
	"repeated events":  {"/stream/x", headStream + "\r\n", "id: 1\ndata: x\n\n", "too_many_events"},
	"resumable events": {"/resumable/x", headStream + "\r\n", "data\n\n", "too_many_events"},
	"stream extension": {"/stream/x", headStream + "Transfer-Encoding: chunked\r\n\r\n7;", "garbage", "line too long"},
	"stream trailers":  {"/stream/x", headStream + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: value\r\n", "trailer"},
}

// Guards against an answer without end that takes memory or time until the deadline,
// looks like an answer to the caller, or is not counted, settled and logged.
func TestEndlessAnswerIsAFailure(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			e := startEndlessTarget(t, answer.start, answer.unit, 0)
			r, logged := newEndlessFixture(t, e)
			got := r.post("r1", answer.path, dialect.Default().Cost, "prompt=100 output=200")
			if got.err == nil {
				assert.Equal(t, got.status, http.StatusBadGateway)
			}
			taken := <-e.taken
			assert.Assert(t, taken < endlessTakenAtMost, "the host took %d bytes", taken)
			r.checkSettled()
			assert.Assert(t, r.failedShare() > 0, "the failure of the target is not counted")
			assert.Equal(t, logged.lines(answer.reason), 1, "%s", logged)
		})
	}
}

// drippingAnswers are answers that do not end and arrive slowly.
var drippingAnswers = map[string]struct{ path, start, unit string }{
	"status line":    {"/short/x", "HTTP/1.1 200 ", "x"},
	"header lines":   {"/short/x", headOK, "X-More: value\r\n"},
	"plain, close":   {"/short/x", headOK + "\r\n", "x"},
	"plain, chunks":  {"/short/x", headOK + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"plain, trailer": {"/short/x", headOK + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "x"},
	"event":          {"/short/x", headStream + "\r\nid: 1\n", "x"},
	"events":         {"/short/x", headStream + "\r\n", "data: x\n\n"},
	"earlier answer": {"/short/x", "HTTP/1.1 200 OK\r\nPeppertrail-Request: r0\r\n\r\n", "x"},
}

// Guards against a dripping answer that holds the request past the route's timeout, or
// looks like an answer to the caller.
func TestDrippingAnswerEndsAtTheDeadline(t *testing.T) {
	for name, answer := range drippingAnswers {
		t.Run(name, func(t *testing.T) {
			e := startEndlessTarget(t, answer.start, answer.unit, 5*time.Millisecond)
			r, logged := newEndlessFixture(t, e)
			started := time.Now()
			got := r.post("r1", answer.path, dialect.Default().Cost, "prompt=100 output=200")
			took := time.Since(started)
			if got.err == nil {
				assert.Equal(t, got.status, http.StatusGatewayTimeout)
			}
			assert.Assert(t, took < 200*time.Millisecond+lateAfterDeadline, "ended after %v", took)
			<-e.taken
			r.checkSettled()
			assert.Equal(t, logged.lines(`"reason":"deadline_passed"`), 1, "%s", logged)
		})
	}
}

// Guards against an answer with a length that is withheld, or whose connection is used
// again, because bytes follow it without end.
func TestBytesAfterAnAnswerAreNotForwarded(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "dripping": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			e := startEndlessTarget(t, headOK+"Content-Length: 4\r\n\r\ngood", "garbage", pause)
			r, _ := newEndlessFixture(t, e)
			for _, id := range []string{"r1", "r2"} {
				got := r.post(id, "/unsafe/x")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, "good")
				time.Sleep(20 * time.Millisecond)
			}
			<-e.taken
			r.checkSettled()
		})
	}
}

// Guards against a time to find the end of an event that grows with the square of its size.
func TestLongEventIsScannedOnce(t *testing.T) {
	fastest := func(size int) time.Duration {
		best := time.Hour
		for range 5 {
			splitter := &eventSplitter{}
			started := time.Now()
			for range size {
				splitter.add([]byte("x"))
			}
			best = min(best, time.Since(started))
		}
		return best
	}
	const size = 8 << 10
	short, long := fastest(size), fastest(8*size)
	assert.Assert(t, long < 32*short, "%v for 8 times the bytes that took %v", long, short)
}

// Guards against continuing a stream at another target after events that no run of the
// request can produce, so that it ends as if it was complete.
func TestStreamWithTooManyEventsIsNotContinued(t *testing.T) {
	e := startEndlessTarget(t, headStream+"\r\n", "data: x\n\n", time.Millisecond)
	other := startEndlessTarget(t, headStream+"Content-Length: 0\r\n\r\n", "garbage", 0)
	r, logged := newEndlessFixture(t, e)
	first := make(chan reply)
	go func() { first <- r.post("r1", "/resumable/x", dialect.Default().Cost, "prompt=100 output=50") }()
	for e.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.handler.Targets.Apply([]balance.Target{e.target("e0"), other.target("e1")})
	got := <-first
	assert.Assert(t, got.err != nil, "the caller sees no error: status %d, %q", got.status, got.body)
	assert.Equal(t, other.requests.Load(), int64(0))
	assert.Equal(t, logged.lines(`"stopped_by":"overrun"`), 1, "%s", logged)
}

// Guards against rejecting a stream that has as many events as its request can produce,
// among comments.
func TestStreamWithAllPossibleEventsIsComplete(t *testing.T) {
	r := newFixture(t, 1)
	r.replicas[0].EventCount = 200
	got := r.post("r1", "/stream/x", dialect.Default().Cost, "prompt=100 output=200")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventStream("r1", 200))
	splitter := &eventSplitter{}
	splitter.add([]byte(strings.Repeat(": ping\n\nid: 1\n\ndatabase: x\n\n", 100) + "data: x\n\n"))
	assert.Equal(t, splitter.outputs, int64(1))
}

// Guards against a request that waits for the end of a rejection instead of being sent to
// another target or refused, and against a connection that is reused in the midst of it.
func TestEndlessRejectionIsNotAwaited(t *testing.T) {
	const rejection = "HTTP/1.1 503 Full\r\nPeppertrail-Request: {id}\r\nPeppertrail-Not-Run: 1\r\n"
	for name, answer := range map[string]struct {
		start, unit string
		pause       time.Duration
	}{
		"dripping":        {rejection + "\r\n", "x", 5 * time.Millisecond},
		"dripping chunks": {rejection + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 5 * time.Millisecond},
		"fast":            {rejection + "\r\n", "garbage", 0},
		"silent":          {rejection + "Content-Length: 1\r\n\r\n", "", time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndlessTarget(t, answer.start, answer.unit, answer.pause)
			r, _ := newEndlessFixture(t, e)
			started := time.Now()
			got := r.post("r1", "/unsafe/x", dialect.Default().Cost, "prompt=100 output=200")
			took := time.Since(started)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, took < time.Second, "refused after %v", took)
			r.checkSettled()
			if answer.pause < time.Minute {
				<-e.taken
			}
		})
	}
}

// Guards against bodies without end of several requests that together take more memory
// than a host has, and against memory that stays counted.
func TestEndlessBodiesShareTheirMemory(t *testing.T) {
	const requests = 24
	e := startEndlessTarget(t, headOK+"\r\n", strings.Repeat("garbage ", 16<<10), time.Millisecond)
	r, logged := newEndlessFixture(t, e)
	r.handler.bodies.max = 4 << 20
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			got := r.post(fmt.Sprint("r", i), "/open/x")
			if got.err == nil && got.status != http.StatusBadGateway {
				t.Errorf("status %d, want %d", got.status, http.StatusBadGateway)
			}
		})
	}
	group.Wait()
	assert.Equal(t, r.handler.bodies.used.Load(), int64(0))
	assert.Equal(t, logged.lines("body exceeds"), 0, "%s", logged)
	assert.Equal(t, logged.lines("memory for buffered response bodies"), requests, "%s", logged)
	taken := 0
	for range requests {
		taken += <-e.taken
	}
	assert.Assert(t, taken < requests*maxBufferedBodyBytes, "the host took %d bytes", taken)
}

// holdingTarget answers each request with the start of an event and holds it until its peer
// closes the connection.
func holdingTarget(t *testing.T, eventBytes int) (target balance.Target, open *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	open = &atomic.Int64{}
	filler := strings.Repeat("x", 16<<10)
	hold := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		head := strings.ReplaceAll(headStream, "{id}", request.Header.Get(dialect.Default().RequestID))
		open.Add(1)
		defer open.Add(-1)
		_, err = io.WriteString(conn, head+"\r\nid: 1\ndata: ")
		for sent := 0; sent < eventBytes && err == nil; sent += len(filler) {
			_, err = io.WriteString(conn, filler)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, r) // until the peer closes
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go hold(conn)
		}
	}()
	return balance.Target{ID: "e0", Service: testService, Addr: l.Addr().String(), Slots: 1000}, open
}

// Guards against events without end of many streams that together take more memory than a host has, each of them below the limit of one event, and against sound streams that fail because of them.
func TestEndlessEventsShareTheirMemory(t *testing.T) {
	const (
		streams     = 150
		eventBytes  = maxEventBytes * 9 / 10
		sharedBytes = 8 << 20
		// What grows takes up to three times its size until garbage is collected. All events
		// together have 141 MB.
		allowed = 3 * (sharedBytes + streams*ownEventBytes)
	)
	r := newFixture(t, 1)
	r.configure(1 << 30)
	r.handler.bodies.max = sharedBytes
	endless, open := holdingTarget(t, eventBytes)
	r.handler.Targets.Apply([]balance.Target{endless})
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() { r.post(fmt.Sprint("r", i), "/stream/x") })
	}
	peak := int64(0)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		peak = max(peak, heap()-before)
	}
	t.Logf("%d MB more memory in use, %d streams open", peak>>20, open.Load())
	r.handler.Targets.Apply([]balance.Target{r.replicas[0].Target(testService)})
	got := r.post("sound", "/stream/sound")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	group.Wait()
	assert.Assert(t, peak < allowed, "%d MB more memory in use", peak>>20)
	assert.Equal(t, r.handler.bodies.used.Load(), int64(0))
}

// Guards against a small response that fails because of large ones of other requests.
func TestSmallBodyNeedsNoSharedMemory(t *testing.T) {
	r := newFixture(t, 1)
	r.handler.bodies.max = 0
	got := r.post("r1", "/safe/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

// Guards against a stream whose caller does not read, and that holds its reservation and
// its target past the deadline or ends as if it was complete.
func TestEndlessStreamToCallerThatDoesNotReadEndsAtTheDeadline(t *testing.T) {
	e := startEndlessTarget(t, headStream+"\r\n", "data: "+strings.Repeat("x", 256<<10)+"\n\n", 0)
	r, logged := newEndlessFixture(t, e)
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	d := dialect.Default()
	started := time.Now()
	fmt.Fprintf(conn, "POST /short/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: %s\r\n%s: prompt=100 output=500\r\nContent-Length: 0\r\n\r\n", testHostName, d.RequestID, d.Key, testKey, d.Cost)
	for logged.lines("Request ended without") == 0 && time.Since(started) < 3*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	took := time.Since(started)
	assert.Assert(t, took < 200*time.Millisecond+lateAfterDeadline, "ended after %v", took)
	assert.Equal(t, logged.lines(`"reason":"deadline_passed"`), 1, "%s", logged)
	r.checkSettled()
	<-e.taken
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	answer, err := io.ReadAll(conn)
	assert.Assert(t, !bytes.HasSuffix(answer, []byte("0\r\n\r\n")), "the stream looks complete: error %v", err)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
}

// Guards against waiting until the deadline for the rest of a line that is no status line:
// a safe request could be served by another target, and the failure would not count.
func TestDrippingGarbageIsAFailureAtOnce(t *testing.T) {
	for _, garbage := range []string{"x", "HTTX/1.1 200 OK", "\r\n"} {
		e := startEndlessTarget(t, garbage, "x", 20*time.Millisecond)
		r, logged := newEndlessFixture(t, e)
		started := time.Now()
		got := r.post("r1", "/unsafe/x")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Assert(t, time.Since(started) < time.Second, "ended after %v", time.Since(started))
		assert.Assert(t, r.failedShare() > 0, "the failure of the target is not counted")
		assert.Equal(t, logged.lines("not a status line"), 1, "%s", logged)
	}
}

// Guards against a target that goes on to get requests because its dripping heads end at
// the deadline, and against counting a target that has not begun to answer.
func TestDrippingHeadCountsAsFailure(t *testing.T) {
	for name, answer := range map[string]struct {
		start, unit string
		pause       time.Duration
		failed      bool
	}{
		"status line":  {"HTTP/1.1 200 ", "x", 5 * time.Millisecond, true},
		"header line":  {headOK + "X-Long: ", "x", 5 * time.Millisecond, true},
		"header lines": {headOK, "X-More: value\r\n", 5 * time.Millisecond, true},
		"no answer":    {"", "", time.Second, false},
		"interim only": {"HTTP/1.1 100 Continue\r\n\r\n", "", time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndlessTarget(t, answer.start, answer.unit, answer.pause)
			r, logged := newEndlessFixture(t, e)
			got := r.post("r1", "/short/x")
			assert.Equal(t, got.status, http.StatusGatewayTimeout)
			assert.Equal(t, r.failedShare() > 0, answer.failed)
			assert.Equal(t, logged.lines("within the header") == 1, answer.failed, "%s", logged)
		})
	}
}
