package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peppertrail/peppertrail/pkg/edge"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/platform"
)

// runOnPlatform runs an edge daemon with the settings file that the platform
// wrote, and returns the exit code.
func runOnPlatform(settingsFile string) int {
	// The platform sends SIGHUP when the settings file changes, also while the process
	// starts. It is ignored: no setting can change while the process runs.
	signal.Ignore(syscall.SIGHUP)
	settings, err := platform.ReadSettings(settingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "peppertraild:", err)
		return exitInvalidConfig
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer func() {
		if err := out.Close(); err != nil {
			fmt.Fprintln(os.Stderr, "peppertraild:", err)
		}
	}()
	d, err := edge.New(context.Background(), settings, platform.Layout(), platform.Dialect(), platform.NewStore(settings.StoreAddress), out)
	if err != nil {
		fmt.Fprintln(os.Stderr, "peppertraild:", err)
		return exitInvalidConfig
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "peppertraild:", err)
		return exitFailed
	}
	return 0
}
