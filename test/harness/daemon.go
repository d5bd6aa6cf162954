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
	// firstHostByte is the last byte of the loopback address of the first daemon.
	firstHostByte = 11
	// startedMessage identifies the log line that contains the addresses of a daemon.
	startedMessage = "Daemon started."
)

// Daemon is one peppertraild process with its own loopback address. It connects
// to the platform through PlatformLink. Other daemons connect to it through PeerLink.
type Daemon struct {
	*process
	Name         string
	PlatformLink *proxy.Proxy
	PeerLink     *proxy.Proxy
	ip           string
	addrs        atomic.Pointer[addresses] // listeners of the last process that logged its start
	args         []string                  // flags other than the listeners
	started      <-chan struct{}           // closed when the process launched last logs its start
	t            testing.TB
}

// addresses are the listener addresses of a daemon in its log.
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

// Start starts the process on free ports and waits until it logs its start.
func (d *Daemon) Start() {
	d.t.Helper()
	d.Launch(false)
	d.AwaitStart()
}

// Restart starts the process again on the addresses of its last start and waits
// until it logs its start. The previous process must have exited.
func (d *Daemon) Restart() {
	d.t.Helper()
	d.Launch(true)
	d.AwaitStart()
}

// Launch starts the process on free ports, or on the addresses of its last start
// if sameAddresses is true. It does not wait, because a daemon that cannot reach
// the platform finishes its start later. Until then, URL returns the old address.
func (d *Daemon) Launch(sameAddresses bool) {
	d.t.Helper()
	callers, operators := d.ip+":0", d.ip+":0"
	if addrs := d.addrs.Load(); addrs != nil && sameAddresses {
		callers, operators = addrs.Callers, addrs.Operators
	}
	peer := d.ip + ":" + freePort(d.t, d.ip)
	d.PeerLink.SetUpstream(peer)
	started := make(chan struct{})
	d.started = started
	args := append([]string{"--listen", callers, "--admin-listen", operators, "--peer-listen", peer}, d.args...)
	d.process = launch(d.t, d.Name, binary(d.t, daemonBinary), args, func(line string) {
		var addrs addresses
		if strings.Contains(line, startedMessage) && json.Unmarshal([]byte(line), &addrs) == nil {
			d.addrs.Store(&addrs)
			close(started)
		}
	})
}

// AwaitStart waits until the process launched last logs its start, which it does
// after it has registered with the platform.
func (d *Daemon) AwaitStart() {
	d.t.Helper()
	select {
	case <-d.started:
	case <-d.done:
		d.t.Fatalf("harness: %s exited during start: %v", d.Name, d.err)
	case <-time.After(startTimeout):
		d.t.Fatalf("harness: %s did not start within %v", d.Name, startTimeout)
	}
}

// freePort returns a port that is currently free on an address. The harness has
// to choose the peer port itself: the daemon advertises its proxy, so the port of
// its peer listener is not in its log.
func freePort(t testing.TB, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatalf("harness: find free port: %v", err)
	}
	defer l.Close()
	_, port, _ := net.SplitHostPort(l.Addr().String()) // cannot fail for the address of a listener
	return port
}

// URL returns the base URL for callers.
func (d *Daemon) URL() string { return "http://" + d.addrs.Load().Callers }

// AdminURL returns the base URL for operators.
func (d *Daemon) AdminURL() string { return "http://" + d.addrs.Load().Operators }

// Kill kills the process with SIGKILL and waits until it has exited.
func (d *Daemon) Kill() {
	d.t.Helper()
	if err := d.kill(); err != nil {
		d.t.Fatalf("harness: %v", err)
	}
}

// Pause suspends the process with SIGSTOP until Resume.
func (d *Daemon) Pause() { d.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (d *Daemon) Resume() { d.signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully with SIGTERM.
func (d *Daemon) Terminate() { d.signal(syscall.SIGTERM) }

// WaitExit waits until the process has exited. It returns the exit error, or an
// error if the process is still running after timeout.
func (d *Daemon) WaitExit(timeout time.Duration) error {
	exit, err := d.wait(timeout)
	if err != nil {
		return err
	}
	return exit
}

// Ready reports whether /readyz of the daemon returns 200.
func (d *Daemon) Ready() bool {
	response, err := controlClient.Get(d.AdminURL() + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
