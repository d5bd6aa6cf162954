package httpstrict

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a range of status codes other than that of HTTP.
func TestCheckHeadStatus(t *testing.T) {
	for status := -1; status <= 1000; status++ {
		err := CheckHead(&http.Response{StatusCode: status})
		assert.Equal(t, err == nil, status >= 100 && status <= 599, "status %d: %v", status, err)
	}
}

// Guards against names that are accepted but are not tokens, or the other way round.
func TestCheckHeadNames(t *testing.T) {
	const tokenChars = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		valid := strings.IndexByte(tokenChars, byte(b)) >= 0
		for _, name := range []string{string([]byte{byte(b)}), "X" + string([]byte{byte(b)}), string([]byte{byte(b)}) + "X"} {
			err := CheckHead(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"X-Good": {"1"}, name: {"1"}}})
			assert.Equal(t, err == nil, valid, "%q: %v", name, err)
			if b != '\n' && b != ':' { // the ends of a line and of a name
				err = CheckFieldLines([]byte("HTTP/1.1 200 OK\r\nX-Good: 1\r\n" + name + ": 1\r\n\r\n"))
				assert.Equal(t, err == nil, valid, "%q: %v", name, err)
			}
		}
	}
	assert.Assert(t, CheckHead(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"": {"1"}}}) != nil)
}

// Guards against a body, a status line or a kind of line end that is taken for an invalid line.
func TestCheckFieldLines(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n not: a field", "HTTP/1.1 200 OK\n\n not: a field", "HTTP/1.1 200 OK\nX-A: 1\r\nX-B:\n\r\n:\r\n", "HTTP/1.0 404 a : b\r\nX: \t1\r\n\r\n",
	} {
		assert.NilError(t, CheckFieldLines([]byte(head)), "%q", head)
	}
	for _, line := range []string{" X-Bad: 1", "\tX-Bad: 1", " ", "\t", ": 1", ":", "X-Bad", "X-Bad : 1", "\r"} {
		assert.Assert(t, CheckFieldLines([]byte("HTTP/1.1 200 OK\r\nX-Good: 1\r\n"+line+"\r\n\r\n")) != nil, "%q", line)
	}
}
