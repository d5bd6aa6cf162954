// Package role runs one process of a measured fleet. The load tool starts its own
// executable once per process, so that a measurement needs only one program. Its
// daemons are the same as peppertraild except for the budget policy.
package role

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/peppertrail/peppertrail/pkg/config"
	"github.com/peppertrail/peppertrail/pkg/daemon"
	"github.com/peppertrail/peppertrail/pkg/load/baseline"
	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/standin/process"
	"github.com/peppertrail/peppertrail/pkg/target"
)

// Command is the first argument of a process that runs a role.
const Command = "run-role"

// Roles. The role is the second argument of the process.
const (
	Platform = "platform" // no further arguments
	Engine   = "engine"   // further argument: milliseconds per token
	Daemon   = "daemon"   // further arguments: policy, index, flags of peppertraild
)

const (
	engineSlots       = 256                   // streams that one engine generates concurrently
	enginePrefillTime = 20 * time.Microsecond // per prompt token
	engineCacheBlocks = 8192
	engineReportLag   = 100 * time.Millisecond // age of the state that reports show
	engineRetention   = 60 * time.Second       // how long ended streams can be resumed
)

// Main runs a role until SIGTERM, SIGINT or the end of the parent process and
// returns the exit code. args are the arguments after Command.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go exitWithParent(os.Getppid())
	if err := run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "pepperload:", err)
		return 1
	}
	return 0
}

// parentPollInterval is the time between checks that the parent process runs.
const parentPollInterval = 500 * time.Millisecond

// exitWithParent exits when the parent process has ended, because a killed parent
// cannot stop this process.
func exitWithParent(parent int) {
	for os.Getppid() == parent {
		time.Sleep(parentPollInterval)
	}
	os.Exit(1)
}

func run(ctx context.Context, args []string) error {
	switch {
	case len(args) == 1 && args[0] == Platform:
		return platform.Run(ctx, "127.0.0.1:0", func(addr string) { fmt.Println("listening", addr) })
	case len(args) == 2 && args[0] == Engine:
		return runEngine(ctx, args[1])
	case len(args) > 3 && args[0] == Daemon:
		return runDaemon(ctx, args[1], args[2], args[3:])
	}
	return fmt.Errorf("invalid role arguments %q; allowed: %s, %s MS, %s POLICY INDEX FLAGS", args, Platform, Engine, Daemon)
}

func runEngine(ctx context.Context, tokenMS string) error {
	ms, err := strconv.ParseFloat(tokenMS, 64)
	if err != nil {
		return fmt.Errorf("ms per token: %w", err)
	}
	e, err := engine.New(engine.Options{
		Kind: target.PromText, Slots: engineSlots, TokenTime: time.Duration(ms * float64(time.Millisecond)),
		PrefillTime: enginePrefillTime, CacheBlocks: engineCacheBlocks, ReportLag: engineReportLag, Retention: engineRetention,
	})
	if err != nil {
		return err
	}
	if err := process.Serve(ctx, "127.0.0.1:0", e.Handler(), os.Stdout, func() { e.Drain(); e.Wait() }); err != nil {
		return err
	}
	return e.Close()
}

func runDaemon(ctx context.Context, policy, index string, args []string) error {
	i, err := strconv.Atoi(index)
	if err != nil {
		return fmt.Errorf("index: %w", err)
	}
	options, err := baseline.DaemonOptions(baseline.Policy(policy), i)
	if err != nil {
		return err
	}
	c, err := config.Parse(args, func(string) string { return "" })
	if err != nil {
		return err
	}
	d, err := daemon.New(c, os.Stderr, options...)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
