// Package process starts and stops the processes of a measured fleet.
package process

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// announceTimeout bounds the wait for the listen address that a process prints.
const announceTimeout = 10 * time.Second

// Process is a child process that runs the executable of this tool.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // result of exec.Cmd.Wait, valid after done is closed
	out  *bufio.Reader // standard output of the process
}

// Start runs this executable with args. Its standard error is appended to a log
// file in dir.
func Start(dir, name string, args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("own executable: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", name, err)
	}
	defer log.Close()
	cmd := exec.Command(self, args...)
	cmd.Stderr = log
	// A separate process group keeps an interrupt at the terminal from reaching the
	// process before the tool stops it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("output of %s: %w", name, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{}), out: bufio.NewReader(out)}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Address returns the listen address that the process prints to its output.
func (p *Process) Address() (string, error) {
	type announced struct {
		line string
		err  error
	}
	read := make(chan announced, 1)
	go func() {
		line, err := p.out.ReadString('\n')
		read <- announced{line, err}
	}()
	select {
	case a := <-read:
		addr, ok := strings.CutPrefix(strings.TrimSpace(a.line), "listening ")
		if !ok {
			return "", fmt.Errorf("%s announced %q: %w", p.Name, a.line, a.err)
		}
		return addr, nil
	case <-time.After(announceTimeout):
		return "", fmt.Errorf("%s announced no address", p.Name)
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // an error means that it has already ended
	<-p.done
}

// Stop sends SIGTERM and kills the process if it has not ended within timeout.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // an error means that it has already ended
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("%s did not stop within %v", p.Name, timeout)
	}
}
