package harness

import (
	"fmt"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// startTimeout bounds the wait for the output line that announces the addresses.
	startTimeout = 20 * time.Second
	// killTimeout bounds the wait for the exit of a process after SIGKILL.
	killTimeout = 10 * time.Second
)

// process is a running program. Signals are sent to its pid only, not to a
// process group.
type process struct {
	name string
	cmd  *exec.Cmd
	tail logTail
	done chan struct{} // closed when the process has exited
	err  error         // result of cmd.Wait; valid after done is closed

	mu     sync.Mutex
	onLine func(string)
}

// launch starts a program and passes its output lines to onLine. At the end of
// the test the process is killed, and its last lines are printed if the test failed.
func launch(t testing.TB, name, path string, args []string, onLine func(string)) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(path, args...), done: make(chan struct{}), onLine: onLine}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatalf("harness: stdout pipe of %s: %v", name, err)
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatalf("harness: stderr pipe of %s: %v", name, err)
	}
	// The kernel kills the process if the test binary dies without its cleanup.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("harness: start %s: %v", name, err)
	}
	var readers sync.WaitGroup
	readers.Go(func() { p.tail.read(stdout, p.handleLine) })
	readers.Go(func() { p.tail.read(stderr, p.handleLine) })
	go func() {
		readers.Wait()
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() { p.cleanup(t) })
	return p
}

// handleLine passes one line to onLine. The mutex serializes the calls, since
// stdout and stderr are read concurrently.
func (p *process) handleLine(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onLine(text)
}

// cleanup kills the process and prints its last lines if the test failed.
func (p *process) cleanup(t testing.TB) {
	if err := p.kill(); err != nil {
		t.Errorf("harness: %v", err)
	}
	if t.Failed() {
		t.Logf("last lines of %s (pid %d, %v):\n%s", p.name, p.cmd.Process.Pid, p.cmd.ProcessState, p.tail.String())
	}
}

// signal sends a signal to the process. It does nothing if the process has exited.
func (p *process) signal(s syscall.Signal) {
	if !p.running() {
		return
	}
	_ = p.cmd.Process.Signal(s) // fails only if the process has just exited
}

// running reports whether the process has not exited yet.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() error {
	p.signal(syscall.SIGKILL)
	_, err := p.wait(killTimeout)
	return err
}

// wait returns the exit error of the process as exit, or err if the process is
// still running after d.
func (p *process) wait(d time.Duration) (exit error, err error) {
	select {
	case <-p.done:
		return p.err, nil
	case <-time.After(d):
		return nil, fmt.Errorf("%s (pid %d) is still running after %v", p.name, p.cmd.Process.Pid, d)
	}
}
