// Package gossip sends datagrams that tell other hosts about long prompts that targets
// are processing, budgets of which the sending host has too few tokens for a request,
// targets that leave or limit their requests, requests and parts of prompts that crash targets, and the version of
// the configuration that the sending host has. Lost datagrams
// are not sent again; receivers let the information expire.
package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

const (
	// maxDatagram is the largest size of a datagram, in bytes.
	maxDatagram = 512
	// maxFanout is the largest number of hosts that one message is sent to. With
	// more hosts, each message goes to a random selection of them.
	maxFanout = 24
)

// Message reports one of six events: a prompt was sent to a target or the target
// has finished processing it; the sending host lacks tokens of a customer's budget for
// a request; a target has said that it leaves; a target names a limit of its requests, or
// none any longer; the sending host reaches no target of a service; or what CrashEvent says
// of Keys.
// A message without an event only tells the ConfigurationVersion, as all messages do.
type Message struct {
	Host string `json:"h"`
	// ConfigurationVersion is the version of the configuration in force at Host, set by the
	// Node; 0: none.
	ConfigurationVersion int64 `json:"g,omitempty"`

	Number   uint64 `json:"n,omitempty"` // identifies the prompt among those of the sending host
	Target   string `json:"t,omitempty"`
	Tokens   int64  `json:"p,omitempty"` // prompt length; 0: the target has finished processing the prompt
	Customer string `json:"c,omitempty"` // customer of whose budget the sending host lacks tokens for a request
	// StillLacks means that the sending host lacks tokens of Customer although it has told of
	// that shortly before.
	StillLacks bool  `json:"u,omitempty"`
	Leaves     bool  `json:"l,omitempty"` // Target leaves
	Born       int64 `json:"b,omitempty"` // start of Target in Unix milliseconds; 0: unknown

	LimitRevision uint64  `json:"v,omitempty"` // revision of what Target says of the requests that it takes; 0: nothing
	PerSecond     float64 `json:"f,omitempty"` // requests per second that Target takes
	LimitEnded    bool    `json:"d,omitempty"` // Target names no limit any longer

	LostService string `json:"s,omitempty"` // service of which the sending host reaches no target

	CrashEvent  string   `json:"e,omitempty"` // kind of a crashes.Event
	Keys        []string `json:"k,omitempty"` // keys of requests and of parts of prompts
	RemainingMs int64    `json:"r,omitempty"` // how long requests with Keys stay refused, in milliseconds
	Trials      int      `json:"q,omitempty"` // requests that have crashed targets since Keys are refused
	AgeMs       int64    `json:"a,omitempty"` // age of the answer or crash that CrashEvent tells of, in milliseconds
}

// Node exchanges messages with other hosts. It is safe for concurrent use.
type Node struct {
	host        string
	conn        *net.UDPConn
	onMessage   func(Message)
	log         *log.Logger
	version     atomic.Int64 // version of the configuration in force at this host
	mu          sync.Mutex
	peers       []netip.AddrPort
	errorLogged bool // a send or receive error has been logged
}

// Listen opens a node at an address. onMessage is called for each message of
// another host, from one goroutine.
func Listen(host, address string, onMessage func(Message), logger *log.Logger) (*Node, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("gossip address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("listen for gossip: %w", err)
	}
	return &Node{host: host, conn: conn, onMessage: onMessage, log: logger}, nil
}

// Addr returns the address that the node receives messages at.
func (n *Node) Addr() string { return n.conn.LocalAddr().String() }

// SetPeers replaces the addresses of the other hosts. Invalid addresses are ignored.
func (n *Node) SetPeers(addresses []string) {
	peers := parseAddresses(addresses)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = peers
}

// SetConfigurationVersion sets the version that the messages of this host tell.
func (n *Node) SetConfigurationVersion(version int64) { n.version.Store(version) }

func parseAddresses(addresses []string) []netip.AddrPort {
	parsed := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		if addr, err := netip.ParseAddrPort(address); err == nil {
			parsed = append(parsed, addr)
		}
	}
	return parsed
}

// Send sends a message to other hosts without waiting for them to receive it.
func (n *Node) Send(m Message) { n.sendTo(m, n.selectPeers()) }

// SendToAll sends a message to all other hosts, however many there are.
func (n *Node) SendToAll(m Message) {
	n.mu.Lock()
	peers := slices.Clone(n.peers)
	n.mu.Unlock()
	n.sendTo(m, peers)
}

// SendToSome sends a message to at most count other hosts, chosen at random.
func (n *Node) SendToSome(m Message, count int) {
	n.mu.Lock()
	peers := slices.Clone(n.peers)
	n.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	n.sendTo(m, peers[:min(count, len(peers))])
}

// SendTo sends a message to the hosts at the given addresses. Invalid addresses are
// ignored.
func (n *Node) SendTo(m Message, addresses []string) { n.sendTo(m, parseAddresses(addresses)) }

func (n *Node) sendTo(m Message, peers []netip.AddrPort) {
	m.Host, m.ConfigurationVersion = n.host, n.version.Load()
	data, err := json.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		return // host, target and customer names are too short for this to happen
	}
	for _, peer := range peers {
		if _, err := n.conn.WriteToUDPAddrPort(data, peer); err != nil {
			n.logFirstError(err)
		}
	}
}

// selectPeers returns the addresses that a message is sent to.
func (n *Node) selectPeers() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.peers) <= maxFanout {
		return n.peers
	}
	selected := make([]netip.AddrPort, 0, maxFanout)
	for _, i := range rand.Perm(len(n.peers))[:maxFanout] {
		selected = append(selected, n.peers[i])
	}
	return selected
}

// logFirstError logs the first send or receive error; later ones are not logged.
func (n *Node) logFirstError(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.errorLogged {
		n.log.Info().Err(err).Msg("Sending or receiving a datagram failed. Further errors are not logged.")
	}
	n.errorLogged = true
}

// Run receives messages until ctx ends.
func (n *Node) Run(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = n.conn.Close() }) // unblocks the read
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := n.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.logFirstError(err)
			continue
		}
		var m Message
		if err := json.Unmarshal(buffer[:size], &m); err != nil || m.Host == "" || m.Host == n.host {
			n.log.Debug().Err(err).Msg("Datagram is malformed or from this host. It is ignored.")
			continue
		}
		n.deliver(m)
	}
}

// deliver calls onMessage. A panic must not end the process.
func (n *Node) deliver(m Message) {
	defer func() {
		if p := recover(); p != nil {
			n.log.Error().Str("peer", m.Host).Str("panic", fmt.Sprint(p)).Str("stack", string(debug.Stack())).Msg("Message of another host could not be handled. The process goes on.")
		}
	}()
	n.onMessage(m)
}
