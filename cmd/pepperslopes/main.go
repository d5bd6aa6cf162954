// Command pepperslopes measures how the cost of a fleet grows with its size.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/peppertrail/peppertrail/pkg/slopes"
)

// totalTimeout limits the time of all measurements of one run together.
const totalTimeout = 10 * time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pepperslopes:", err)
		os.Exit(1)
	}
}

func run() error {
	daemonPath := defaultDaemonPath()
	short := false
	var names, daemonSettings []string
	measure := flaggy.NewSubcommand("measure")
	measure.Description = "measure all slopes, or those of the named measurements"
	measure.String(&daemonPath, "", "daemon", "path of peppertraild")
	measure.Bool(&short, "", "short", "smallest sizes, to try the tool")
	measure.StringSlice(&names, "", "only", "measurements to run; may be repeated")
	measure.StringSlice(&daemonSettings, "", "setting", "setting of each daemon as NAME=VALUE; may be repeated")
	flaggy.SetName("pepperslopes")
	flaggy.SetDescription("measures how the cost of a fleet grows with its size")
	flaggy.AttachSubcommand(measure, 1)
	flaggy.Parse()
	if !measure.Used {
		flaggy.ShowHelpAndExit("name a subcommand")
	}
	settings := slopes.FullRun(daemonPath)
	if short {
		settings = slopes.ShortRun(daemonPath)
	}
	for _, setting := range daemonSettings {
		settings.ExtraArgs = append(settings.ExtraArgs, "--"+setting)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	return runMeasurements(ctx, settings, names)
}

// runMeasurements runs the named measurements, or all of them if names is empty.
func runMeasurements(ctx context.Context, s slopes.Settings, names []string) error {
	fmt.Println(slopes.MachineLine())
	for _, m := range slopes.Measurements() {
		if len(names) > 0 && !slices.Contains(names, m.Name) {
			continue
		}
		if err := m.Run(ctx, s, os.Stdout); err != nil {
			return err
		}
	}
	return nil
}

// defaultDaemonPath returns the path of peppertraild in the directory of this
// executable.
func defaultDaemonPath() string {
	executable, err := os.Executable()
	if err != nil {
		return "peppertraild"
	}
	return filepath.Join(filepath.Dir(executable), "peppertraild")
}
