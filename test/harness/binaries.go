package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

const (
	// buildTimeout is long enough for a build without a cache on a busy machine.
	buildTimeout = 3 * time.Minute

	daemonBinary  = "peppertraild"
	standinBinary = "pepperstand"
)

// commands are the main packages that the harness builds and runs.
var commands = []string{
	"github.com/peppertrail/peppertrail/cmd/peppertraild",
	"github.com/peppertrail/peppertrail/cmd/pepperstand",
}

// binDir is the directory of the binaries that Main builds.
var binDir string

// Main builds the binaries once, runs the tests and exits. Call it from TestMain.
func Main(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "peppertrail-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness: create directory:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := build(dir); err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// build writes the binaries to dir.
func build(dir string) error {
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, commands...)
	out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build the binaries: %w\n%s", err, out)
	}
	return nil
}

// binary returns the path of a binary that Main built.
func binary(t testing.TB, name string) string {
	t.Helper()
	if binDir == "" {
		t.Fatal("harness: the package's TestMain does not call harness.Main")
	}
	return filepath.Join(binDir, name)
}
