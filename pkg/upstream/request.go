package upstream

import (
	"bytes"
	"strconv"
)

// Field is a header line.
type Field struct {
	Name  string
	Value string
}

// Request is a request with its whole body.
type Request struct {
	Method string
	URI    string // as in the request line of the caller
	Host   string
	Fields []Field // without Host and those that frame the body
	Body   []byte
	// ID is what the target echoes in the header EchoName. Answers with another
	// id are skipped. Empty: any answer is taken.
	ID       string
	EchoName string
}

// encode returns the request line and the header. A body always goes with a length.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(requestHeadSize)
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

// requestHeadSize is the initial buffer of a request head, in bytes.
const requestHeadSize = 1024

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}
