package proxy

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// ClientPID returns the id of the process, out of pids, that holds the client side of
// a loopback connection, 0 if none does. All daemons dial from 127.0.0.1, so only
// the kernel's socket table can distinguish them.
func ClientPID(source net.Addr, pids []int) int {
	tcp, ok := source.(*net.TCPAddr)
	if !ok {
		return 0
	}
	inode := socketInode(tcp)
	if inode == "" {
		return 0
	}
	for _, pid := range pids {
		if hasSocket(pid, inode) {
			return pid
		}
	}
	return 0
}

// socketInode returns the inode of the connected socket whose local address is
// addr, empty if there is none.
func socketInode(addr *net.TCPAddr) string {
	const (
		localField  = 1
		remoteField = 2
		inodeField  = 9
	)
	file, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	ip := addr.IP.To4()
	if ip == nil {
		return ""
	}
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip), addr.Port) // the kernel prints the IP address as an integer in native byte order
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeField || fields[localField] != local {
			continue
		}
		if inode := fields[inodeField]; inode != "0" && !strings.HasSuffix(fields[remoteField], ":0000") {
			return inode
		}
	}
	return ""
}

func hasSocket(pid int, inode string) bool {
	want := "socket:[" + inode + "]"
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && link == want {
			return true
		}
	}
	return false
}
