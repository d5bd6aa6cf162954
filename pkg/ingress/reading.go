package ingress

import (
	"time"

	"golang.org/x/sys/unix"
)

// Acknowledged returns how many bytes the caller's system has acknowledged since the connection
// was accepted, and whether bytes are left that were not sent. ok is false if the operating
// system does not tell.
func (c *Conn) Acknowledged() (bytes int64, unsent, ok bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false, false
	}
	var info *unix.TCPInfo
	var infoErr error
	// Control, unlike Write, does not wait for a concurrent write of the server.
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0, false, false
	}
	return int64(info.Bytes_acked), info.Notsent_bytes > 0, true
}

// Abort makes writes fail, also one in progress, and lets Close reset the connection: what the
// caller has not read would stay in the kernel otherwise. An error means that the connection is
// closed.
func (c *Conn) Abort() {
	_ = c.SetLinger(0)
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}
