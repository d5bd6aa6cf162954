package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rawserver"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// largeBody is not written to its end before a target answers early.
var largeBody = strings.Repeat("x", rawserver.UnreadBytes)

// startRawTarget starts a target that answers each request with text as soon as it has read its
// head.
func startRawTarget(t *testing.T, end rawserver.End, text string) target.Target {
	t.Helper()
	s := rawserver.New(rawserver.Answer{End: end, Text: rawserver.Always(text)})
	t.Cleanup(s.Close)
	return target.Target{ID: "raw", Addr: s.Addr()}
}

// checkInvalid checks that responses with these heads are errors after which the call may have
// run, whatever is asked of the target.
func checkInvalid(t *testing.T, heads []rawserver.Head) {
	t.Helper()
	ctx := context.Background()
	for _, head := range heads {
		to := startRawTarget(t, rawserver.Close, head.Text()+rawserver.Body)
		c := newClient(t, Options{})
		_, err := c.Do(ctx, serviceCall(to, http.MethodPost, "/", "x"))
		checkInvalidResponse(t, err, head)
		_, err = c.Open(ctx, newCall(to))
		checkInvalidResponse(t, err, head)
		_, err = c.Resume(ctx, to, "s.1", 0)
		checkInvalidResponse(t, err, head)
		_, err = c.Cancel(ctx, to, "s.1")
		checkInvalidResponse(t, err, head)
	}
}

func checkInvalidResponse(t *testing.T, err error, head rawserver.Head) {
	t.Helper()
	var failed *Error
	assert.Assert(t, errors.As(err, &failed), "%q: %v", head, err)
	assert.Equal(t, failed.Verdict, verdict.MayHaveRun, "%q", head)
}

// Guards against returning a response whose status code is none of HTTP.
func TestInvalidStatusIsAnError(t *testing.T) { checkInvalid(t, rawserver.InvalidStatuses()) }

// Guards against returning a response with a field whose name holds a blank or a control byte.
func TestInvalidNameIsAnError(t *testing.T) { checkInvalid(t, rawserver.InvalidNames()) }

// Guards against rejecting or changing an unusual field that HTTP permits.
func TestDoReturnsEveryField(t *testing.T) {
	for _, field := range rawserver.ValidFields() {
		to := startRawTarget(t, rawserver.Close, rawserver.Head{Status: "200 OK", Fields: []string{field}}.Text()+"whole")
		got, err := newClient(t, Options{}).Do(context.Background(), serviceCall(to, http.MethodPost, "/", "x"))
		assert.NilError(t, err, "%q", field)
		assert.Equal(t, string(got.Body), "whole")
		name, value, _ := strings.Cut(field, ":")
		assert.Equal(t, got.Header.Get(name), strings.Trim(value, " \t"), "%q", field)
	}
}

// Guards against rejecting a response with an unusual status code.
func TestDoReturnsEveryStatus(t *testing.T) {
	for _, status := range rawserver.ValidStatuses() {
		to := startRawTarget(t, rawserver.Close, rawserver.Head{Status: fmt.Sprint(status, " Some reason")}.Text()+"whole")
		got, err := newClient(t, Options{}).Do(context.Background(), serviceCall(to, http.MethodPost, "/", "x"))
		assert.NilError(t, err, "status %d", status)
		assert.Equal(t, got.Status, status)
		if status != http.StatusNoContent && status != http.StatusNotModified {
			assert.Equal(t, string(got.Body), "whole")
		}
	}
}

// largeOptions permit requests with largeBody.
var largeOptions = Options{MaxBody: rawserver.UnreadBytes, IdleTimeout: 3 * time.Second}

var withoutLength = rawserver.Head{Status: "200 OK"}

// Guards against accepting a response without a length as complete whose connection was reset while
// the call was written.
func TestDoResetDuringUpload(t *testing.T) {
	to := startRawTarget(t, rawserver.Reset, withoutLength.Text()+"part")
	for i := range rawserver.Repeats {
		_, err := newClient(t, largeOptions).Do(context.Background(), serviceCall(to, http.MethodPost, "/", largeBody))
		assert.Assert(t, err != nil, "run %d", i)
		checkError(t, err, verdict.MayHaveRun, true)
	}
}

// Guards against losing a whole response that arrives before the call is written.
func TestDoEarlyResponse(t *testing.T) {
	withLength := rawserver.Head{Status: "200 OK", Fields: []string{"Content-Length: 5", "Connection: close"}}
	for name, response := range map[string]struct {
		head rawserver.Head
		ends []rawserver.End
	}{
		"length":  {withLength, []rawserver.End{rawserver.Keep, rawserver.Close, rawserver.HalfClose, rawserver.HalfCloseUnread, rawserver.HalfCloseReset, rawserver.Reset}},
		"neither": {withoutLength, []rawserver.End{rawserver.Close, rawserver.HalfClose, rawserver.HalfCloseUnread, rawserver.HalfCloseReset}},
	} {
		for _, end := range response.ends {
			t.Run(fmt.Sprintf("%s, %v", name, end), func(t *testing.T) {
				to := startRawTarget(t, end, response.head.Text()+"whole")
				for i := range rawserver.Repeats {
					got, err := newClient(t, largeOptions).Do(context.Background(), serviceCall(to, http.MethodPost, "/", largeBody))
					assert.NilError(t, err, "run %d", i)
					assert.Equal(t, string(got.Body), "whole")
				}
			})
		}
	}
}
