// Command pepperload runs load measurements of peppertrail fleets on the loopback
// interface.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/peppertrail/peppertrail/pkg/load/baseline"
	"github.com/peppertrail/peppertrail/pkg/load/bench"
	"github.com/peppertrail/peppertrail/pkg/load/role"
)

func main() {
	// The measurements start this executable again for each process of the fleet.
	if len(os.Args) > 1 && os.Args[1] == role.Command {
		os.Exit(role.Main(os.Args[2:]))
	}
	os.Exit(run())
}

func run() int {
	options := bench.Options{
		Rate: bench.DefaultRate, Daemons: bench.DefaultDaemons, Engines: bench.DefaultEngines, Seed: bench.DefaultSeed,
		Out: os.Stdout, Log: os.Stderr,
	}
	var workloads, policies string
	sub := flaggy.NewSubcommand("bench")
	sub.Description = "compare policies for budgets under load and faults"
	sub.String(&workloads, "", "workload", "workloads, separated by commas (default: "+strings.Join(bench.Names(), ",")+")")
	sub.String(&policies, "", "policy", "policies, separated by commas (default: chosen,pertransaction,static)")
	sub.Float64(&options.Rate, "", "rate", "requests per second")
	sub.Duration(&options.Duration, "", "duration", "duration of each load; its events are scaled with it (default: the workload's own)")
	sub.Int(&options.Daemons, "", "daemons", "number of daemons")
	sub.Int(&options.Engines, "", "engines", "number of engines")
	sub.UInt64(&options.Seed, "", "seed", "seed of the schedule")
	sub.String(&options.Dir, "", "logs", "directory that keeps the logs of the processes (default: none are kept)")
	flaggy.SetName("pepperload")
	flaggy.SetDescription("load and experiment tool")
	flaggy.AttachSubcommand(sub, 1)
	flaggy.Parse()
	if !sub.Used {
		flaggy.ShowHelpAndExit("name a measurement")
	}
	options.Workloads = splitList(workloads)
	for _, p := range splitList(policies) {
		options.Policies = append(options.Policies, baseline.Policy(p))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	started := time.Now()
	if err := bench.Run(ctx, options); err != nil {
		fmt.Fprintln(os.Stderr, "pepperload:", err)
		return 1
	}
	fmt.Fprintf(os.Stderr, "pepperload: done in %v\n", time.Since(started).Round(time.Second))
	return 0
}

func splitList(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}
