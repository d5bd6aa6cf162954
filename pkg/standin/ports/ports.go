// Package ports finds free loopback addresses for processes under test.
package ports

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// Daemon ports lie below the ephemeral port range of the operating system: an
// outgoing connection could otherwise take the port of a daemon while it is down.
// Each test process reserves one block of blockSize ports, so that concurrent test
// processes do not use the same port.
const (
	firstPort = 15_000
	lastPort  = 32_000
	blockSize = 200
)

// block is the port block of this process. A listener on its first port reserves
// the block for the lifetime of the process.
var block struct {
	mu         sync.Mutex
	base       int // first port of the block
	lastOffset int // offset from base of the port that was tried last; 0: none
	listener   net.Listener
}

// Free returns a loopback address on which nothing listens. It returns an error if
// the port block of this process has no free port.
func Free() (string, error) {
	block.mu.Lock()
	defer block.mu.Unlock()
	if err := reserveBlock(); err != nil {
		return "", err
	}
	for range blockSize {
		block.lastOffset = block.lastOffset%(blockSize-1) + 1
		addr := fmt.Sprintf("127.0.0.1:%d", block.base+block.lastOffset)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // in use
		}
		_ = l.Close()
		return addr, nil
	}
	return "", errors.New("no free port in the port block of this process")
}

// reserveBlock reserves the first port block that no other process has reserved.
func reserveBlock() error {
	if block.listener != nil {
		return nil
	}
	for base := firstPort; base < lastPort; base += blockSize {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base)); err == nil {
			block.base, block.listener = base, l
			return nil
		}
	}
	return errors.New("no free port block: all are reserved by other processes")
}
