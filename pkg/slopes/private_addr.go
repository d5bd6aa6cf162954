package slopes

import (
	"fmt"
	"net"
	"os"
)

const (
	firstSecondByte = 16  // second byte of private addresses, above those in common use
	secondBytes     = 128 // second bytes in use
	byteValues      = 256 // values of a byte
	lastBytes       = 250 // last bytes in use
)

// privateAddr returns a free loopback address for the i-th daemon. Its number
// belongs to this process: on 127.0.0.1 a port that was free a moment ago is
// soon taken by an outgoing connection, which ended a run with 32 daemons.
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
