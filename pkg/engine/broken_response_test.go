package engine

import (
	"context"
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

// resetRepeats is how often the tests repeat an exchange in which the order of a reset, a write
// and a read varies.
const resetRepeats = 50

// largeBody is not written to its end before a target answers early.
var largeBody = strings.Repeat("x", rawserver.UnreadBytes)

// startRawTarget starts a target that answers each request with text as soon as it has read its
// head.
func startRawTarget(t *testing.T, end rawserver.End, text string) target.Target {
	t.Helper()
	s := rawserver.New(rawserver.Answer{End: end, Text: func(*http.Request) string { return text }})
	t.Cleanup(s.Close)
	return target.Target{ID: "raw", Addr: s.Addr()}
}

// largeOptions permit requests with largeBody.
var largeOptions = Options{MaxBody: rawserver.UnreadBytes, IdleTimeout: 3 * time.Second}

var withoutLength = rawserver.Head{Status: "200 OK"}

// Guards against accepting a response without a length as complete whose connection was reset while
// the call was written.
func TestDoResetDuringUpload(t *testing.T) {
	to := startRawTarget(t, rawserver.Reset, withoutLength.Text()+"part")
	for i := range resetRepeats {
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
		"length":  {withLength, []rawserver.End{rawserver.Keep, rawserver.Close, rawserver.HalfClose, rawserver.HalfCloseUnread}},
		"neither": {withoutLength, []rawserver.End{rawserver.Close, rawserver.HalfClose, rawserver.HalfCloseUnread}},
	} {
		for _, end := range response.ends {
			t.Run(fmt.Sprintf("%s, %v", name, end), func(t *testing.T) {
				to := startRawTarget(t, end, response.head.Text()+"whole")
				for i := range resetRepeats {
					got, err := newClient(t, largeOptions).Do(context.Background(), serviceCall(to, http.MethodPost, "/", largeBody))
					assert.NilError(t, err, "run %d", i)
					assert.Equal(t, string(got.Body), "whole")
				}
			})
		}
	}
}
