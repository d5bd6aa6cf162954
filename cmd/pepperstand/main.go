// Command pepperstand runs stand-ins of the platform and of targets for
// demonstrations, tests and measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	commands := []command{
		platformCommand(),
		engineCommand(),
		serviceCommand(),
	}
	flaggy.SetName("pepperstand")
	flaggy.SetDescription("stand-ins of the platform and of targets")
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "pepperstand:", err)
			os.Exit(1)
		}
		return
	}
	flaggy.ShowHelpAndExit("name a stand-in")
}
