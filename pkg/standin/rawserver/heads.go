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

// ValidStatuses returns all final status codes.
func ValidStatuses() []int {
	var all []int
	for status := http.StatusOK; status < 600; status++ {
		all = append(all, status)
	}
	return all
}
