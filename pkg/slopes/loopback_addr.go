package slopes

import (
	"fmt"
	"net"
	"os"
)

const (
	minSecondByte   = 16  // lowest second byte of the IP addresses; lower values are in common use
	secondByteCount = 128 // number of different second bytes
	byteValues      = 256 // number of values of a byte
	lastByteCount   = 250 // number of different last bytes
)

// loopbackAddr returns a free loopback address for the i-th daemon. The IP address
// is derived from the id of this process. On 127.0.0.1 an outgoing connection can
// take the free port before the daemon listens on it, which made a run with 32
// daemons fail.
func loopbackAddr(i int) (string, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", minSecondByte+pid/byteValues%secondByteCount, pid%byteValues, 1+i%lastByteCount)
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
