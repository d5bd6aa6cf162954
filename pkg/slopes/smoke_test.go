package slopes

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// buildDaemon builds peppertraild and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "peppertraild")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/peppertraild").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return path
}

// Guards against a tool that cannot start daemons or send requests through them, or
// that no longer prints the lines that docs/CAPACITY.md quotes.
func TestSmoke(t *testing.T) {
	s := ShortRun(buildDaemon(t))
	for name, want := range map[string]string{
		"fleet":    "slope idle_table_writes_per_second=",
		"requests": "slope table_writes_per_request=",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var out bytes.Buffer
			assert.NilError(t, measurementNamed(t, name).Run(ctx, s, &out))
			assert.Assert(t, strings.Contains(out.String(), want), "%s", out.String())
			assert.Assert(t, !strings.Contains(out.String(), "unknown"), "%s", out.String())
		})
	}
}

func measurementNamed(t *testing.T, name string) Measurement {
	t.Helper()
	for _, m := range Measurements() {
		if m.Name == name {
			return m
		}
	}
	t.Fatalf("no measurement %q", name)
	return Measurement{}
}

// Guards against daemons that keep running after an interrupted run.
func TestStopKillsEveryDaemon(t *testing.T) {
	f, err := startFleet(t.Context(), fleetSpec{binary: buildDaemon(t), daemons: 2, targets: 1})
	f.stop()
	assert.NilError(t, err)
	for _, d := range f.daemons {
		assert.ErrorIs(t, syscall.Kill(d.cmd.Process.Pid, 0), syscall.ESRCH)
	}
}
