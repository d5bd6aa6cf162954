// Command peppertraild is the router daemon. Every host runs the same binary.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peppertrail/peppertrail/pkg/config"
	"github.com/peppertrail/peppertrail/pkg/daemon"
	"github.com/peppertrail/peppertrail/platform"
)

// Exit codes.
const (
	exitFailed        = 1
	exitInvalidConfig = 2
)

// version is set at build time.
var version = "dev"

func main() {
	os.Exit(run())
}

func run() int {
	// Without arguments, a settings file of the platform selects the edge daemon.
	if file := os.Getenv(platform.SettingsVariable); file != "" && len(os.Args) == 1 {
		return runOnPlatform(file)
	}
	c, err := config.Parse(os.Args[1:], os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "peppertraild:", err)
		return exitInvalidConfig
	}
	if c.ShowVersion {
		fmt.Println("peppertraild", version)
		return 0
	}
	d, err := daemon.New(c, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "peppertraild:", err)
		return exitInvalidConfig
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "peppertraild:", err)
		return exitFailed
	}
	return 0
}
