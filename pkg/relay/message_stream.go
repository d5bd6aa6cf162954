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

func newMessageStream(conn net.Conn, logger *log.Logger) *messageStream {
	input := &limitedConn{Conn: conn}
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

// limitedConn is a connection of which a limited number of bytes can be read.
type limitedConn struct {
	net.Conn
	remaining int // bytes that can be read
}

// Read implements io.Reader.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, err
}
