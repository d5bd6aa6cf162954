package relay

import (
	"errors"
	"fmt"
	"net"

	"github.com/phuslu/log"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes is the maximum size of a message between hosts, in bytes. The largest
// are pages of the store, which limits them to 1 MB of rows.
const maxMessageBytes = 16 << 20

// errMessageTooLarge ends a connection on which a message exceeds maxMessageBytes.
var errMessageTooLarge = fmt.Errorf("message exceeds %d bytes", maxMessageBytes)

// messageStream reads and writes the messages of a connection to another host. The
// decoder keeps a message in memory until its end, so its size is limited.
type messageStream struct {
	jsonrpc2.ObjectStream
	input *limitedConn
	log   *log.Logger
}

// newMessageStream returns the messages of a connection. progress is called for each part of
// a large message that arrives; nil: not called.
func newMessageStream(conn net.Conn, logger *log.Logger, progress func()) *messageStream {
	input := &limitedConn{Conn: conn, progress: progress}
	return &messageStream{ObjectStream: jsonrpc2.NewPlainObjectStream(input), input: input, log: logger}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *messageStream) ReadObject(v any) error {
	s.input.remaining = maxMessageBytes
	err := s.ObjectStream.ReadObject(v)
	if errors.Is(err, errMessageTooLarge) {
		s.log.Warn().Str("peer", s.input.RemoteAddr().String()).Err(err).Msg("Connection to another host is closed.")
	}
	return err
}

// largeMessageBytes is the size from which a message may take long to arrive, in bytes.
const largeMessageBytes = 16 << 10

// limitedConn is a connection of which a limited number of bytes can be read.
type limitedConn struct {
	net.Conn
	remaining int    // bytes that can be read
	progress  func() // called for each part of a large message; nil: not called
}

// Read implements io.Reader.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if c.progress != nil && n > 0 && maxMessageBytes-c.remaining >= largeMessageBytes {
		c.progress()
	}
	return n, err
}
