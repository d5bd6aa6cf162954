package bandwidth

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxAckAge and maxSentAge bound the age of the last acknowledgement and of the last data sent
	// for which the kernel's round-trip time counts as present. A partition brings no
	// acknowledgements, and a connection that only receives gets no new samples.
	maxAckAge  = 250 * time.Millisecond
	maxSentAge = time.Second
)

// SampleRoundTrip returns the round-trip time that the kernel has measured lately on a TCP
// connection, false if there is none.
func SampleRoundTrip(c net.Conn) (RoundTrip, bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return RoundTrip{}, false
	}
	peer, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return RoundTrip{}, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return RoundTrip{}, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil || !isPresent(info) {
		return RoundTrip{}, false
	}
	return RoundTrip{Peer: peer.AddrPort().Addr().Unmap(), Time: time.Duration(info.Rtt) * time.Microsecond}, true
}

// isPresent reports whether data was sent and acknowledged lately.
func isPresent(info *unix.TCPInfo) bool {
	return info.Rtt > 0 && milliseconds(info.Last_ack_recv) <= maxAckAge && milliseconds(info.Last_data_sent) <= maxSentAge
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
