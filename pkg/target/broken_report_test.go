package target

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rawserver"
)

// fetchRaw requests a report from a target that answers with text and closes the connection.
func fetchRaw(t *testing.T, text string) (string, error) {
	t.Helper()
	server := rawserver.New(rawserver.Answer{End: rawserver.Close, Text: rawserver.Always(text)})
	defer server.Close()
	body, err := fetch(t.Context(), reportClient(), server.Addr(), "/report")
	return string(body), err
}

// Guards against reading a report from a response whose status code is none of HTTP.
func TestInvalidStatusIsNoReport(t *testing.T) { checkInvalid(t, rawserver.InvalidStatuses()) }

// Guards against reading a report from a response in which the name of a field holds a blank or a
// control byte.
func TestInvalidNameIsNoReport(t *testing.T) { checkInvalid(t, rawserver.InvalidNames()) }

// checkInvalid checks that responses with these heads are not read.
func checkInvalid(t *testing.T, heads []rawserver.Head) {
	t.Helper()
	for _, head := range heads {
		body, err := fetchRaw(t, head.Text()+rawserver.Body)
		assert.Assert(t, err != nil, "%q: %q", head, body)
	}
}

// Guards against losing a report whose body ends with the connection.
func TestReportWithoutLength(t *testing.T) {
	body, err := fetchRaw(t, rawserver.Head{Status: "200 OK"}.Text()+"whole")
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
}
