package httpstrict

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// Range of the status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error if the status code of a response is not one of HTTP, or the name of a
// header field is not a token. net/http rejects other invalid names, but permits blanks: a
// Content-Length or Transfer-Encoding field then does not apply to the body.
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("invalid status code %03d", response.StatusCode)
	}
	for name := range response.Header {
		if !isToken(name) {
			return invalidName(name)
		}
	}
	return nil
}

// CheckFieldLines returns an error if a line of a head does not begin with the name of a header
// field. net/http drops a line with an empty name, and joins one that begins with a blank with the
// line before it. head begins with the status line; what follows its blank line is ignored.
func CheckFieldLines(head []byte) error {
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(rest) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(line) == 0 {
			return nil
		}
		if name, _, found := bytes.Cut(line, []byte(":")); !found || !isToken(string(name)) {
			return invalidName(string(name))
		}
	}
	return nil
}

// maxQuotedBytes limits the part of a name that an error quotes, in bytes.
const maxQuotedBytes = 100

func invalidName(name string) error {
	return fmt.Errorf("invalid header field name %q", name[:min(len(name), maxQuotedBytes)])
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return !isTokenChar(r) })
}

func isTokenChar(r rune) bool {
	return '0' <= r && r <= '9' || 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
