// Package ports finds addresses for processes under test.
package ports

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// Ports of daemons lie below those that the system gives to outgoing connections,
// which could take the port of a daemon while it is down. Each test process has a
// block of them, so that processes that run at once do not take each other's.
const (
	firstPort = 15_000
	lastPort  = 32_000
	blockSize = 200
)

// block is the block of this process. A listener on its first port keeps it.
var block struct {
	mu       sync.Mutex
	base     int
	next     int
	listener net.Listener
}

// Free returns a loopback address on which nothing listens. It returns an error if
// there is none.
func Free() (string, error) {
	block.mu.Lock()
	defer block.mu.Unlock()
	if err := claimBlock(); err != nil {
		return "", err
	}
	for range blockSize {
		block.next = block.next%(blockSize-1) + 1
		addr := fmt.Sprintf("127.0.0.1:%d", block.base+block.next)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // in use
		}
		_ = l.Close()
		return addr, nil
	}
	return "", errors.New("no free port")
}

// claimBlock takes the first block that no other process has.
func claimBlock() error {
	if block.listener != nil {
		return nil
	}
	for base := firstPort; base < lastPort; base += blockSize {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base)); err == nil {
			block.base, block.listener = base, l
			return nil
		}
	}
	return errors.New("no free block of ports")
}
