package slopes

import (
	"fmt"
	"net"
	"os"
)

const (
	firstBlock = 16  // second byte of private addresses, above those in common use
	blocks     = 128 // second bytes in use
	bytes8     = 256 // values of a byte
	lastHosts  = 250 // last bytes in use
)

// privateAddr returns a free loopback address for the i-th daemon. Its number
// belongs to this process: on 127.0.0.1 a port that was free a moment ago is
// soon taken by an outgoing connection, which ended a run with 32 daemons.
func privateAddr(i int) (string, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", firstBlock+pid/bytes8%blocks, pid%bytes8, 1+i%lastHosts)
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
