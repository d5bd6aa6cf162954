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

// runTimeout bounds a whole run.
const runTimeout = 10 * time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pepperslopes:", err)
		os.Exit(1)
	}
}

func run() error {
	daemon := defaultDaemon()
	short := false
	var only, flags []string
	measure := flaggy.NewSubcommand("measure")
	measure.Description = "measure all slopes, or those of the named measurements"
	measure.String(&daemon, "", "daemon", "path of peppertraild")
	measure.Bool(&short, "", "short", "smallest sizes, to try the tool")
	measure.StringSlice(&only, "", "only", "measurements to run; may be repeated")
	measure.StringSlice(&flags, "", "setting", "setting of each daemon as NAME=VALUE; may be repeated")
	flaggy.SetName("pepperslopes")
	flaggy.SetDescription("measures how the cost of a fleet grows with its size")
	flaggy.AttachSubcommand(measure, 1)
	flaggy.Parse()
	if !measure.Used {
		flaggy.ShowHelpAndExit("name a subcommand")
	}
	settings := slopes.FullRun(daemon)
	if short {
		settings = slopes.ShortRun(daemon)
	}
	for _, f := range flags {
		settings.Extra = append(settings.Extra, "--"+f)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	return measureAll(ctx, settings, only)
}

// measureAll runs the named measurements, or all if none is named.
func measureAll(ctx context.Context, s slopes.Settings, only []string) error {
	fmt.Println(slopes.MachineLine())
	for _, m := range slopes.Measurements() {
		if len(only) > 0 && !slices.Contains(only, m.Name) {
			continue
		}
		if err := m.Run(ctx, s, os.Stdout); err != nil {
			return err
		}
	}
	return nil
}

// defaultDaemon returns the path of peppertraild beside this program.
func defaultDaemon() string {
	self, err := os.Executable()
	if err != nil {
		return "peppertraild"
	}
	return filepath.Join(filepath.Dir(self), "peppertraild")
}
