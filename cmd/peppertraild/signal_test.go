package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/platform"
)

// buildDaemon builds the daemon and returns its path, and that of a settings file that is
// a pipe: a daemon that reads it waits for a writer.
func buildDaemon(t *testing.T) (binary, settings string) {
	t.Helper()
	dir := t.TempDir()
	binary, settings = filepath.Join(dir, "peppertraild"), filepath.Join(dir, "settings.toml")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	return binary, settings
}

func startDaemon(t *testing.T, binary, settings string) *exec.Cmd {
	t.Helper()
	daemon := exec.Command(binary)
	daemon.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	assert.NilError(t, daemon.Start())
	return daemon
}

// ignoresHangup reports whether a process ignores SIGHUP.
func ignoresHangup(t *testing.T, pid int) bool {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	_, mask, found := strings.Cut(string(status), "SigIgn:\t")
	assert.Assert(t, found, "%s", status)
	ignored, err := strconv.ParseUint(mask[:16], 16, 64)
	assert.NilError(t, err)
	return ignored&(1<<(uint(syscall.SIGHUP)-1)) != 0
}

// Guards against a daemon that SIGHUP ends while the Go runtime starts.
func TestHangupBeforeMainIsIgnored(t *testing.T) {
	binary, settings := buildDaemon(t)
	for range 20 {
		daemon := startDaemon(t, binary, settings)
		for threads := 0; threads < 2; { // the runtime starts threads before main
			tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", daemon.Process.Pid))
			assert.NilError(t, err)
			threads = len(tasks)
		}
		ignored := ignoresHangup(t, daemon.Process.Pid)
		assert.NilError(t, daemon.Process.Kill())
		_ = daemon.Wait() // reports the signal
		assert.Assert(t, ignored)
	}
}

// Guards against a daemon that SIGHUP ends while it reads its settings.
func TestHangupDuringStartIsIgnored(t *testing.T) {
	binary, settings := buildDaemon(t)
	daemon := startDaemon(t, binary, settings)
	exited := make(chan error, 1)
	go func() { exited <- daemon.Wait() }()
	t.Cleanup(func() { _ = daemon.Process.Kill() })    // an error means that it has exited
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns once the daemon reads the settings
	assert.NilError(t, err)
	defer pipe.Close()
	assert.NilError(t, daemon.Process.Signal(syscall.SIGHUP))
	select {
	case err := <-exited:
		t.Fatalf("daemon exited after SIGHUP: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
}
