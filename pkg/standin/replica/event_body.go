package replica

import (
	"fmt"
	"net"
	"net/http"
)

// eventBody is the body of an event stream. It is sent in chunks, or, if conn is set,
// with no framing but the end of the connection.
type eventBody struct {
	response http.ResponseWriter
	conn     net.Conn
}

// newEventBody sends the header of the response and returns its body.
func newEventBody(w http.ResponseWriter, f Faults) (*eventBody, error) {
	w.Header().Set("Content-Type", "text/event-stream")
	if !f.FrameByClose {
		return &eventBody{response: w}, nil
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, fmt.Errorf("hijack the connection: %w", err)
	}
	body := &eventBody{response: w, conn: conn}
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"); err != nil {
		return nil, fmt.Errorf("write the status line: %w", err)
	}
	if err := w.Header().Write(conn); err != nil {
		return nil, fmt.Errorf("write the header: %w", err)
	}
	return body, body.write("\r\n")
}

// write sends text at once.
func (b *eventBody) write(text string) error {
	if b.conn != nil {
		_, err := b.conn.Write([]byte(text))
		return err
	}
	if _, err := b.response.Write([]byte(text)); err != nil {
		return err
	}
	return http.NewResponseController(b.response).Flush()
}

// end ends the body regularly. Chunks are ended by the HTTP server.
func (b *eventBody) end() {
	if b.conn != nil {
		_ = b.conn.Close() // the client has disconnected if this fails
	}
}

// abort ends the body irregularly: without the last chunk, or by a reset of the
// connection.
func (b *eventBody) abort() {
	if b.conn == nil {
		panic(http.ErrAbortHandler)
	}
	_ = b.conn.(*net.TCPConn).SetLinger(0) // a linger of 0 resets the connection on Close
	b.end()
}
