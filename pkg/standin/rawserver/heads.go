package rawserver

import "strings"

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
