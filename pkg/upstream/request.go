package upstream

import (
	"bytes"
	"strconv"
)

// Field is a header field.
type Field struct {
	Name  string
	Value string
}

// Request is an HTTP request with its complete body.
type Request struct {
	Method string
	URI    string // request target exactly as in the caller's request line
	Host   string
	Fields []Field // header fields except Host and those that frame the body
	Body   []byte
	// ID is the request id that the target echoes in the header EchoHeader. Responses
	// with another id are skipped. If ID is empty, any response is accepted.
	ID         string
	EchoHeader string
}

// encode returns the request line and the header. A body is always sent with a
// Content-Length.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(initialHeadCapacity)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\n")
	writeField(&b, "Host", r.Host)
	for _, f := range r.Fields {
		writeField(&b, f.Name, f.Value)
	}
	if len(r.Body) > 0 || (r.Method != "GET" && r.Method != "HEAD") {
		writeField(&b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// initialHeadCapacity is the initial buffer capacity for the request line and the
// header, in bytes.
const initialHeadCapacity = 1024

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}
