package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

const (
	// sentAtMost is how many bytes an endless target sends before it stops and leaves its
	// connection open.
	sentAtMost = 48 << 20
	// takenAtMost is the number of bytes that a client with a limit takes off an endless
	// target, including those in socket buffers.
	takenAtMost = 32 << 20
)

// startEndlessTarget starts a target that answers with start and then unit again and
// again, with a pause before each. The channel receives the bytes that each connection
// took until the client closed it.
func startEndlessTarget(t *testing.T, start, unit string, pause time.Duration) (target.Target, <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	taken := make(chan int, 4)
	if pause == 0 {
		unit = strings.Repeat(unit, 1+(16<<10)/len(unit))
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				sent, err := io.WriteString(c, start)
				for err == nil && sent < sentAtMost {
					time.Sleep(pause)
					var n int
					n, err = io.WriteString(c, unit)
					sent += n
				}
				_, _ = io.Copy(io.Discard, r) // until the client closes
				taken <- sent
			}()
		}
	}()
	return target.Target{Addr: l.Addr().String()}, taken
}

const (
	plainHead  = "HTTP/1.1 200 OK\r\n"
	streamHead = plainHead + "Content-Type: text/event-stream\r\nX-Stream-Id: s.1\r\n"
)

// endlessResponses are responses that do not end.
var endlessResponses = map[string]struct {
	stream      bool
	start, unit string
	reason      string
}{
	"line":            {false, "", "garbage", "headers exceeded"},
	"header line":     {true, streamHead + "X-Long: ", "value ", "headers exceeded"},
	"header lines":    {true, streamHead, "X-More: value\r\n", "headers exceeded"},
	"interim":         {false, "", "HTTP/1.1 103 Early Hints\r\n\r\n", "headers exceeded"},
	"body, close":     {false, plainHead + "\r\n", "garbage", "larger than the limit"},
	"body, chunks":    {false, plainHead + "Transfer-Encoding: chunked\r\n\r\n", "70\r\n" + strings.Repeat("garbage ", 14) + "\r\n", "larger than the limit"},
	"chunk extension": {false, plainHead + "Transfer-Encoding: chunked\r\n\r\n7;", "garbage", "line too long"},
	"trailers":        {false, plainHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: value\r\n", "trailer"},
	"event line":      {true, streamHead + "\r\ndata: ", "garbage", "longer than the limit"},
	"event lines":     {true, streamHead + "\r\n", "data: x\n", "longer than the limit"},
}

// receive makes a call and reads its response to the end.
func receive(ctx context.Context, t *testing.T, to target.Target, stream bool) error {
	c := newClient(t, Options{})
	if !stream {
		_, err := c.Do(ctx, serviceCall(to, http.MethodGet, "/x", ""))
		return err
	}
	call := newCall(to)
	call.Stream = "s.1"
	s, err := c.Open(ctx, call)
	if err != nil {
		return err
	}
	defer s.Close()
	for err == nil {
		_, err = s.Next()
	}
	return err
}

// Guards against a response without end that takes memory, looks like a response, or is
// reported as not run.
func TestEndlessResponseIsAFailure(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			to, taken := startEndlessTarget(t, response.start, response.unit, 0)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			err := receive(ctx, t, to, response.stream)
			var failed *Error
			assert.Assert(t, errors.As(err, &failed), "%v", err)
			assert.Equal(t, failed.Verdict, verdict.MayHaveRun)
			assert.ErrorContains(t, err, response.reason)
			n := <-taken
			assert.Assert(t, n < takenAtMost, "the client took %d bytes", n)
		})
	}
}

// Guards against a dripping response that holds a call past its deadline.
func TestDrippingResponseEndsAtTheDeadline(t *testing.T) {
	for name, start := range map[string]string{"line": "", "body": plainHead + "\r\n", "event": streamHead + "\r\n", "comment": streamHead + "\r\n: x"} {
		t.Run(name, func(t *testing.T) {
			to, taken := startEndlessTarget(t, start, "x", 5*time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			started := time.Now()
			err := receive(ctx, t, to, strings.Contains(start, "event-stream"))
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			assert.Assert(t, time.Since(started) < 450*time.Millisecond, "ended after %v", time.Since(started))
			<-taken
		})
	}
}
