package rawserver

import (
	"fmt"
	"net/http"
	"strings"
)

// Head is the head of an answer.
type Head struct {
	Status string // status code and reason phrase
	Fields []string
}

// Text returns the head up to the blank line that ends it, with more fields.
func (h Head) Text(fields ...string) string {
	lines := append([]string{"HTTP/1.1 " + h.Status}, fields...)
	return strings.Join(append(lines, h.Fields...), "\r\n") + "\r\n\r\n"
}

// Always returns the text of an answer that is the same for each request.
func Always(text string) func(*http.Request) string {
	return func(*http.Request) string { return text }
}

// Echo returns the text of an answer with a head and a body, to whose head the request's field with
// a name is added.
func Echo(name string, head Head, body string) func(*http.Request) string {
	return func(r *http.Request) string { return head.Text(name+": "+r.Header.Get(name)) + body }
}

// Body is the body of the answers with these heads, if their status has one.
const Body = "5\r\nhello\r\n0\r\n\r\n"

var bodyLength = fmt.Sprint("Content-Length: ", len(Body))

// InvalidStatuses returns heads whose status code is none of HTTP.
func InvalidStatuses() []Head {
	var heads []Head
	for _, status := range []string{"000", "000 Unknown", "001", "042 Fault", "099 Fault", "600 Fault", "999 Fault", "-01", "+20", "+200", "2", "20", "2000", "2e2", "0x1", "OK", ""} {
		heads = append(heads, Head{status, []string{bodyLength}}, Head{status, nil}, Head{status, []string{"Content-Length: 0"}},
			Head{status, []string{"Content-Type: text/event-stream"}})
	}
	return heads
}

// InvalidNames returns heads with a field whose name holds a blank or a control byte.
func InvalidNames() []Head {
	fields := []string{
		"X Bad: 1", "X-Bad : 1", "X-Bad  : 1", "Bad X-Bad: 1", "Content-Length : 5", "Content Length: 5", "Transfer-Encoding : chunked",
		"Transfer Encoding: chunked", "Connection : close", "Content-Type : text/event-stream",
	}
	for b := range 0x20 {
		if b != '\n' { // the end of a line
			fields = append(fields, fmt.Sprintf("X%cBad: 1", b))
		}
	}
	for _, b := range "\x00\t\v\r\x1f\x7f" {
		fields = append(fields, fmt.Sprintf("X%cBad: 1", b), fmt.Sprintf("Content-Length%c: 5", b), fmt.Sprintf("Transfer-Encoding%c: chunked", b))
	}
	statuses := []string{"200 OK", "404 Not Found", "500 Failed"}
	var heads []Head
	for i, field := range fields {
		for j, all := range [][]string{{field}, {"X-Good: 1", field, bodyLength}, {field, "Content-Length: 0"}} {
			heads = append(heads, Head{statuses[(i+j)%len(statuses)], all})
		}
	}
	return heads
}

// LinesWithoutName returns heads with a line that does not begin with the name of a field.
func LinesWithoutName() []Head {
	var heads []Head
	for _, line := range []string{" X-Bad: 1", "\tX-Bad: 1", " Content-Length: 5", " ", "\t", " : 1", ": 1", ":"} {
		heads = append(heads, Head{"200 OK", []string{"X-Good: 1", line, bodyLength}}, Head{"200 OK", []string{bodyLength, "X-Good: 1", line}})
	}
	return heads
}

// BrokenMessages returns answers to a JSON-RPC call that are a part of a message, or no message.
func BrokenMessages() []string {
	const begin = `{"jsonrpc":"2.0","id":0,"result":{`
	return []string{
		begin, begin + "}", begin + `"Rows":[]`, "", Head{"000 Unknown", []string{"Content-Length: 2"}}.Text() + "{}",
		Head{"200 OK", []string{"Content-Length : 2"}}.Text() + "{}",
	}
}

// ValidStatuses returns all final status codes.
func ValidStatuses() []int {
	var all []int
	for status := http.StatusOK; status < 600; status++ {
		all = append(all, status)
	}
	return all
}

// ValidFields returns unusual fields that HTTP permits.
func ValidFields() []string {
	return []string{
		"x-lower: 1", "X!#$%&'*+-.^_`|~9: 1", "9: 1", "X-Empty:", "X-Blank:  ", "X-Tight:1", "X-Trailing: 1 \t", "X-Tab: a\tb", "X-Quoted: \"a : b\"",
		"X-Colon: a:b : c", "X-Latin: \xe9\xff", "X-List: a, b", "X-Twice: 1", "X-Twice: 2", "X-Long: " + strings.Repeat("v", 10_000),
	}
}
