// Package gossip tells other hosts in datagrams what they cannot know yet: long
// prompts on their way to targets, budgets of which a request lacks tokens, and
// requests that break targets.
// What is lost is not sent again; receivers let everything expire.
package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/phuslu/log"
)

const (
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 512
	// maxFanout bounds the hosts that are told of one event. With more hosts each
	// event reaches a random part of them.
	maxFanout = 24
)

// Message says that a prompt is on its way to a target or has been read, or that
// a request lacks tokens of a customer's budget, or that one broke its target.
type Message struct {
	Host     string `json:"h"`
	Number   uint64 `json:"n,omitempty"` // of the prompt, unique for its host
	Target   string `json:"t,omitempty"`
	Tokens   int64  `json:"p,omitempty"` // 0: has been read
	Customer string `json:"c,omitempty"` // whose tokens are lacking
	Crashed  uint64 `json:"x,omitempty"` // fingerprint of a request that broke Target
}

// Node sends to and hears from other hosts. It is safe for concurrent use.
type Node struct {
	host   string
	conn   *net.UDPConn
	heard  func(Message)
	log    *log.Logger
	mu     sync.Mutex
	peers  []netip.AddrPort
	failed bool
}

// Listen opens a node at an address. heard is called for each message of
// another host, from one goroutine.
func Listen(host, address string, heard func(Message), logger *log.Logger) (*Node, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("gossip address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("listen for gossip: %w", err)
	}
	return &Node{host: host, conn: conn, heard: heard, log: logger}, nil
}

// Addr returns the address that other hosts send to.
func (n *Node) Addr() string { return n.conn.LocalAddr().String() }

// SetPeers replaces the addresses of the other hosts. Bad ones are left out.
func (n *Node) SetPeers(addresses []string) {
	peers := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		if addr, err := netip.ParseAddrPort(address); err == nil {
			peers = append(peers, addr)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = peers
}

// Send tells other hosts. It does not wait.
func (n *Node) Send(m Message) {
	m.Host = n.host
	data, err := json.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		return // names of that length do not occur
	}
	for _, peer := range n.receivers() {
		if _, err := n.conn.WriteToUDPAddrPort(data, peer); err != nil {
			n.fail(err)
		}
	}
}

// receivers returns the hosts to tell.
func (n *Node) receivers() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.peers) <= maxFanout {
		return n.peers
	}
	some := make([]netip.AddrPort, 0, maxFanout)
	for _, i := range rand.Perm(len(n.peers))[:maxFanout] {
		some = append(some, n.peers[i])
	}
	return some
}

// fail logs the first of the errors in a row.
func (n *Node) fail(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.failed {
		n.log.Info().Err(err).Msg("Datagram not sent.")
	}
	n.failed = true
}

// Run hears until ctx ends.
func (n *Node) Run(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = n.conn.Close() }) // ends the read
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := n.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.fail(err)
			continue
		}
		var m Message
		if err := json.Unmarshal(buffer[:size], &m); err != nil || m.Host == "" || m.Host == n.host {
			n.log.Debug().Err(err).Msg("Datagram dropped.")
			continue
		}
		n.heard(m)
	}
}
