package replica

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// EndlessKind says where a response has no end.
type EndlessKind string

// Responses without end.
const (
	EndlessNone    EndlessKind = ""
	EndlessLine    EndlessKind = "line"    // no status line, but bytes without a line end
	EndlessHeader  EndlessKind = "header"  // header lines
	EndlessInterim EndlessKind = "interim" // interim responses
	EndlessBody    EndlessKind = "body"    // a body that ends with the connection; in a stream, an event
	EndlessEvents  EndlessKind = "events"  // events in chunks after the complete ones; else chunks
	EndlessAfter   EndlessKind = "after"   // bytes after a complete response
)

// EndlessKinds returns every kind of response without end.
func EndlessKinds() []EndlessKind {
	return []EndlessKind{EndlessLine, EndlessHeader, EndlessInterim, EndlessBody, EndlessEvents, EndlessAfter}
}

// Endless is a response that goes on until the client closes the connection.
type Endless struct {
	Kind  EndlessKind
	Pause time.Duration // between two writes
}

// SetEndless makes the replica send responses without end where its faults would let it
// send a complete one. EndlessNone ends that.
func (r *Replica) SetEndless(e Endless) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endless = e
}

// currentEndless returns what SetEndless has set.
func (r *Replica) currentEndless() Endless {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endless
}

// sendEndless sends a response without end until the client closes the connection.
func (r *Replica) sendEndless(w http.ResponseWriter, run Run, e Endless, stream bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the client has disconnected
	}
	defer conn.Close()
	start, unit := r.endlessParts(run.ID, e.Kind, stream)
	_, err = io.WriteString(conn, start)
	for n := r.EventCount + 1; err == nil; n++ {
		time.Sleep(e.Pause)
		_, err = io.WriteString(conn, unit(n))
	}
}

// endlessParts returns the start of a response without end and what follows it; the
// argument counts on from EventCount.
func (r *Replica) endlessParts(id string, kind EndlessKind, stream bool) (start string, unit func(n int) string) {
	repeat := func(text string) func(int) string { return func(int) string { return text } }
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", r.dialect.RequestID, id, IDHeader, r.ID)
	body := "answer to " + id
	if stream {
		head += "Content-Type: text/event-stream\r\n"
		var events strings.Builder
		for n := 1; n <= r.EventCount; n++ {
			events.WriteString(eventText(n, id))
		}
		body = events.String()
	}
	switch kind {
	case EndlessHeader:
		return head, repeat("X-Endless: yes\r\n")
	case EndlessInterim:
		return "", repeat("HTTP/1.1 103 Early Hints\r\n\r\n")
	case EndlessBody:
		return head + "\r\nid: 1\ndata: ", repeat("endless ")
	case EndlessEvents:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunkText(body), func(n int) string { return chunkText(eventText(n, id)) }
	case EndlessAfter:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), repeat("endless ")
	}
	return "", repeat("endless ")
}

func chunkText(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
