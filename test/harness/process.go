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
	// startTimeout bounds the wait for the line that announces the addresses.
	startTimeout = 20 * time.Second
	// killTimeout bounds the wait for the end of a process after SIGKILL.
	killTimeout = 10 * time.Second
)

// process is one started program. Signals go to its pid only.
type process struct {
	name string
	cmd  *exec.Cmd
	tail logTail
	done chan struct{} // closed when the process has ended
	err  error         // valid after done

	mu     sync.Mutex
	onLine func(string)
}

// launch starts a program whose output lines are passed to onLine. The process
// is ended with the test and its last lines are printed if the test failed.
func launch(t testing.TB, name, path string, args []string, onLine func(string)) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(path, args...), done: make(chan struct{}), onLine: onLine}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatalf("harness: output of %s: %v", name, err)
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatalf("harness: errors of %s: %v", name, err)
	}
	// The kernel ends the process if the test binary dies without its cleanup.
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

// line passes one line on; one at a time, as two streams are read.
func (p *process) handleLine(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onLine(text)
}

// cleanup ends the process and prints its last lines after a failure.
func (p *process) cleanup(t testing.TB) {
	if err := p.kill(); err != nil {
		t.Errorf("harness: %v", err)
	}
	if t.Failed() {
		t.Logf("last lines of %s (pid %d, %v):\n%s", p.name, p.cmd.Process.Pid, p.cmd.ProcessState, p.tail.String())
	}
}

// signal sends a signal to the process. One that has ended is left alone.
func (p *process) signal(s syscall.Signal) {
	if !p.running() {
		return
	}
	_ = p.cmd.Process.Signal(s) // fails only if the process has just ended
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() error {
	p.signal(syscall.SIGKILL)
	_, err := p.wait(killTimeout)
	return err
}

// wait returns how the process ended, or an error if it runs on after d.
func (p *process) wait(d time.Duration) (exit error, err error) {
	select {
	case <-p.done:
		return p.err, nil
	case <-time.After(d):
		return nil, fmt.Errorf("%s (pid %d) still runs after %v", p.name, p.cmd.Process.Pid, d)
	}
}
