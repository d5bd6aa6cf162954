package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/platform"
)

// Guards against a daemon that SIGHUP ends while it reads its settings.
func TestHangupDuringStartIsIgnored(t *testing.T) {
	dir := t.TempDir()
	binary, settings := filepath.Join(dir, "peppertraild"), filepath.Join(dir, "settings.toml")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	daemon := exec.Command(binary)
	daemon.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	assert.NilError(t, daemon.Start())
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
