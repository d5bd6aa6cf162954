package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/test/harness/proxy"
)

const (
	// firstHostByte is the last byte of the first daemon's loopback address.
	firstHostByte = 11
	// startedMessage is in the log line that names the addresses of a daemon.
	startedMessage = "Daemon started."
)

// Daemon is one peppertraild with its own loopback address. It reaches the
// platform through PlatformLink; other daemons reach it through PeerLink.
type Daemon struct {
	*process
	Name         string
	PlatformLink *proxy.Proxy
	PeerLink     *proxy.Proxy
	ip           string
	addrs        atomic.Pointer[addresses] // of the last start
	args         []string                  // settings other than the listeners
	started      <-chan struct{}           // closed when the latest process has registered
	t            testing.TB
}

// addresses are the listeners of a daemon as its log names them.
type addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
}

// newDaemon prepares a daemon without starting it.
func newDaemon(t testing.TB, number int, platformAddr string, args []string) *Daemon {
	t.Helper()
	d := &Daemon{
		Name:         fmt.Sprintf("host%d", number),
		PlatformLink: listen(t, platformAddr),
		PeerLink:     listen(t, ""),
		ip:           fmt.Sprintf("127.0.0.%d", firstHostByte+number),
		t:            t,
	}
	d.args = append([]string{
		"--host", d.Name,
		"--region", region,
		"--failure-domain", failureDomain,
		"--platform", "http://" + d.PlatformLink.Addr(),
		"--advertise-peer", d.PeerLink.Addr(),
	}, args...)
	return d
}

// Start starts the process on free ports and waits until it has registered.
func (d *Daemon) Start() {
	d.t.Helper()
	d.Launch(false)
	d.AwaitStart()
}

// StartAgain starts the process on the addresses of its last start and waits
// until it has registered.
func (d *Daemon) Restart() {
	d.t.Helper()
	d.Launch(true)
	d.AwaitStart()
}

// Launch starts the process on free ports, or on the addresses of its last
// start, and does not wait: a daemon that cannot reach the platform registers
// later. URL returns the old address until it has.
func (d *Daemon) Launch(sameAddresses bool) {
	d.t.Helper()
	callers, operators := d.ip+":0", d.ip+":0"
	if at := d.addrs.Load(); at != nil && sameAddresses {
		callers, operators = at.Callers, at.Operators
	}
	peer := d.ip + ":" + freePort(d.t, d.ip)
	d.PeerLink.SetUpstream(peer)
	started := make(chan struct{})
	d.started = started
	args := append([]string{"--listen", callers, "--admin-listen", operators, "--peer-listen", peer}, d.args...)
	d.process = launch(d.t, d.Name, binary(d.t, daemonBinary), args, func(line string) {
		var at addresses
		if strings.Contains(line, startedMessage) && json.Unmarshal([]byte(line), &at) == nil {
			d.addrs.Store(&at)
			close(started)
		}
	})
}

// AwaitStart waits until the process that was launched last has registered.
func (d *Daemon) AwaitStart() {
	d.t.Helper()
	select {
	case <-d.started:
	case <-d.done:
		d.t.Fatalf("harness: %s ended at start: %v", d.Name, d.err)
	case <-time.After(startTimeout):
		d.t.Fatalf("harness: %s did not start within %v", d.Name, startTimeout)
	}
}

// freePort returns a port that is free on an address at the moment. The peer
// listener's port is not in the daemon's log, since it advertises its proxy.
func freePort(t testing.TB, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatalf("harness: free port: %v", err)
	}
	defer l.Close()
	_, port, _ := net.SplitHostPort(l.Addr().String()) // the address of a listener always splits
	return port
}

// URL returns the base URL for callers.
func (d *Daemon) URL() string { return "http://" + d.addrs.Load().Callers }

// AdminURL returns the base URL for operators.
func (d *Daemon) AdminURL() string { return "http://" + d.addrs.Load().Operators }

// Kill ends the process with SIGKILL.
func (d *Daemon) Kill() {
	d.t.Helper()
	if err := d.kill(); err != nil {
		d.t.Fatalf("harness: %v", err)
	}
}

// Pause stops the process until Resume.
func (d *Daemon) Pause() { d.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (d *Daemon) Resume() { d.signal(syscall.SIGCONT) }

// Leave asks the process to stop gracefully.
func (d *Daemon) Terminate() { d.signal(syscall.SIGTERM) }

// Left waits until the process has ended and returns how it ended.
func (d *Daemon) WaitExit(timeout time.Duration) error {
	exit, err := d.wait(timeout)
	if err != nil {
		return err
	}
	return exit
}

// Ready reports whether the daemon says that it is ready.
func (d *Daemon) Ready() bool {
	response, err := controlClient.Get(d.AdminURL() + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
