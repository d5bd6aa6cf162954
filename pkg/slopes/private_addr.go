package slopes

import (
	"fmt"
	"net"
	"os"
)

const (
	firstSecondByte = 16  // lowest second byte of private addresses, above those in common use
	secondBytes     = 128 // number of second bytes in use
	byteValues      = 256 // number of values of a byte
	lastBytes       = 250 // number of last bytes in use
)

// privateAddr returns a free loopback address for the i-th daemon. The IP address
// is derived from the id of this process. On 127.0.0.1 an outgoing connection can
// take the free port before the daemon listens on it, which made a run with 32
// daemons fail.
func privateAddr(i int) (string, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", firstSecondByte+pid/byteValues%secondBytes, pid%byteValues, 1+i%lastBytes)
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
