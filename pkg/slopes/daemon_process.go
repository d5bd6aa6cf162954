package slopes

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const startTimeout = 20 * time.Second

// daemonProcess is a running peppertraild.
type daemonProcess struct {
	name       string
	cmd        *exec.Cmd
	proxy      *peerProxy
	callerAddr string // address for callers
	adminAddr  string // address for operators
	started    chan struct{}
	ended      chan struct{}

	mu          sync.Mutex
	inForceAt   map[uint64]time.Time // time at which each bundle version came into force
	lastMessage string
}

// daemonSpec holds the parameters of a daemon.
type daemonSpec struct {
	binary      string
	index       int
	platformURL string
	operator    string        // value of --bootstrap-operator: NAME=KEY
	peerBytes   *atomic.Int64 // counter of the bytes sent to and from peer listeners
	extraArgs   []string
}

// startDaemon starts a daemon. The kernel kills the daemon if the tool ends.
func startDaemon(spec daemonSpec) (*daemonProcess, error) {
	peerAddr, err := loopbackAddr(spec.index)
	if err != nil {
		return nil, err
	}
	proxy, err := newPeerProxy(peerAddr, spec.peerBytes)
	if err != nil {
		return nil, fmt.Errorf("peer proxy: %w", err)
	}
	d := &daemonProcess{
		name: fmt.Sprintf("host%d", spec.index), proxy: proxy,
		started: make(chan struct{}), ended: make(chan struct{}),
		inForceAt: make(map[uint64]time.Time),
	}
	args := append([]string{
		"--host", d.name, "--region", region(spec.index), "--failure-domain", failureDomain(spec.index),
		"--platform", spec.platformURL, "--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0",
		"--peer-listen", peerAddr, "--advertise-peer", proxy.addr(), "--bootstrap-operator", spec.operator,
	}, spec.extraArgs...)
	d.cmd = exec.Command(spec.binary, args...)
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logs, err := d.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := d.cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start daemon: %w", err), proxy.listener.Close())
	}
	go d.readLog(logs)
	return d, nil
}

// logLine holds the fields of a log line that the tool uses.
type logLine struct {
	Message   string `json:"message"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Version   uint64 `json:"version"`
}

// readLog reads the log until the process ends.
func (d *daemonProcess) readLog(logs io.Reader) {
	defer close(d.ended)
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		d.recordLogLine(lines.Bytes(), time.Now())
	}
	_ = d.cmd.Wait() // the status is not needed: stop kills the daemon
}

func (d *daemonProcess) recordLogLine(raw []byte, now time.Time) {
	var line logLine
	if json.Unmarshal(raw, &line) != nil {
		line.Message = string(raw)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastMessage = line.Message
	switch line.Message {
	case "Daemon started.":
		d.callerAddr, d.adminAddr = line.Callers, line.Operators
		close(d.started)
	case "Bundle in force.":
		d.inForceAt[line.Version] = now
	}
}

// awaitStart waits until the daemon has started.
func (d *daemonProcess) awaitStart() error {
	select {
	case <-d.started:
		return nil
	case <-d.ended:
		return fmt.Errorf("daemon %s ended while starting; last log message: %s", d.name, d.lastMessage)
	case <-time.After(startTimeout):
		return fmt.Errorf("daemon %s did not start within %s", d.name, startTimeout)
	}
}

// inForce returns the time at which a bundle version came into force, the zero time
// if it has not.
func (d *daemonProcess) inForce(version uint64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inForceAt[version]
}

// stop kills the process. A graceful stop would take seconds, and no measurement
// needs its result.
func (d *daemonProcess) stop() {
	_ = d.cmd.Process.Kill()
	<-d.ended
	d.proxy.close()
}
