package upstream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rawserver"
)

// largeBody is not written to its end before a target answers early.
var largeBody = make([]byte, rawserver.UnreadBytes)

// startRawServer returns the address of a server that echoes the id of each request in an answer
// with a head and a body.
func startRawServer(t *testing.T, end rawserver.End, head rawserver.Head, body string) string {
	t.Helper()
	s := rawserver.New(rawserver.Answer{End: end, Text: rawserver.Echo("X-Id", head, body)})
	t.Cleanup(s.Close)
	return s.Addr()
}

// sendLarge sends a request with a large body and reads the response after a pause.
func sendLarge(t *testing.T, c *Client, addr, id string, pause time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	r := newRequest(id)
	r.Body = largeBody
	response, err := c.Send(ctx, addr, r, 0)
	if err != nil {
		return "", err
	}
	defer response.Close()
	time.Sleep(pause)
	body, err := response.ReadWhole(1 << 20)
	return string(body), err
}

var withoutLength = rawserver.Head{Status: "200 OK"}

// Guards against reporting a response without a length as complete whose connection was reset while
// the request was written: the kernel may tell only the writer of the reset.
func TestResetDuringUploadIsNotACompleteResponse(t *testing.T) {
	addr := startRawServer(t, rawserver.Reset, withoutLength, "part")
	for name, pause := range map[string]time.Duration{"read at once": 0, "read later": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			complete := 0
			for i := range rawserver.Repeats {
				if body, err := sendLarge(t, New(), addr, fmt.Sprint(i), pause); err == nil {
					assert.Equal(t, body, "part")
					complete++
				}
			}
			assert.Equal(t, complete, 0, "of %d responses", rawserver.Repeats)
		})
	}
}

// Guards against losing a whole response that arrives before the request is written, whatever the
// target does with the connection after its regular end.
func TestEarlyResponseIsComplete(t *testing.T) {
	const body = "whole answer"
	withLength := rawserver.Head{Status: "200 OK", Fields: []string{fmt.Sprint("Content-Length: ", len(body))}}
	chunked := rawserver.Head{Status: "200 OK", Fields: []string{"Transfer-Encoding: chunked"}}
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for name, response := range map[string]struct {
		head rawserver.Head
		text string
		ends []rawserver.End
	}{
		"length":  {withLength, body, []rawserver.End{rawserver.Keep, rawserver.Close, rawserver.HalfClose, rawserver.HalfCloseUnread, rawserver.HalfCloseReset, rawserver.Reset}},
		"chunks":  {chunked, chunks, []rawserver.End{rawserver.Keep, rawserver.Close, rawserver.HalfClose, rawserver.HalfCloseUnread, rawserver.HalfCloseReset, rawserver.Reset}},
		"neither": {withoutLength, body, []rawserver.End{rawserver.Close, rawserver.HalfClose, rawserver.HalfCloseUnread, rawserver.HalfCloseReset}},
	} {
		for _, end := range response.ends {
			t.Run(fmt.Sprintf("%s, %v", name, end), func(t *testing.T) {
				addr := startRawServer(t, end, response.head, response.text)
				for i := range rawserver.Repeats {
					got, err := sendLarge(t, New(), addr, fmt.Sprint(i), time.Duration(i%2)*5*time.Millisecond)
					assert.NilError(t, err, "run %d", i)
					assert.Equal(t, got, body)
				}
			})
		}
	}
}

// Guards against an early response without a length that is held back until its target has read
// the request.
func TestHalfClosedResponseEndsAtOnce(t *testing.T) {
	addr := startRawServer(t, rawserver.HalfCloseUnread, withoutLength, "whole")
	started := time.Now()
	body, err := sendLarge(t, New(), addr, "1", 0)
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
	assert.Assert(t, time.Since(started) < time.Second, "ended after %v", time.Since(started))
}

// Guards against returning a response whose status code is none of HTTP.
func TestInvalidStatusIsAnError(t *testing.T) { checkInvalid(t, rawserver.InvalidStatuses()) }

// Guards against returning a response with a field whose name holds a blank or a control byte.
func TestInvalidNameIsAnError(t *testing.T) { checkInvalid(t, rawserver.InvalidNames()) }

// Guards against joining a line with the one before it, and against dropping it.
func TestLineWithoutNameIsAnError(t *testing.T) { checkInvalid(t, rawserver.LinesWithoutName()) }

// Guards against checking the heads of a connection's first response only.
func TestInvalidHeadAfterInterimResponseIsAnError(t *testing.T) {
	const interim = "103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 "
	var heads []rawserver.Head
	for _, head := range slices.Concat(rawserver.InvalidNames(), rawserver.LinesWithoutName()) {
		heads = append(heads, rawserver.Head{Status: interim + head.Status, Fields: head.Fields})
	}
	checkInvalid(t, heads)
	valid := startRawServer(t, rawserver.Close, rawserver.Head{Status: interim + "200 OK"}, "whole")
	body, err := send(t, New(), valid, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
}

// checkInvalid checks that responses with these heads are invalid.
func checkInvalid(t *testing.T, heads []rawserver.Head) {
	t.Helper()
	for _, head := range heads {
		_, err := send(t, New(), startRawServer(t, rawserver.Close, head, rawserver.Body), "1")
		assert.Assert(t, errors.Is(err, ErrInvalidResponse), "%q: %v", head, err)
		assert.Assert(t, MayHaveRun(err))
	}
}
