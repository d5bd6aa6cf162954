package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/peppertrail/peppertrail/pkg/standin/process"
	"github.com/peppertrail/peppertrail/pkg/standin/service"
)

// serviceFlags holds the flags of the subcommand service. Times may be fractional.
type serviceFlags struct {
	listen      string
	delayMS     float64
	capacity    int
	crashMarker string
	journal     string
}

func serviceCommand() command {
	f := serviceFlags{listen: "127.0.0.1:0", delayMS: 5, capacity: 256}
	sub := flaggy.NewSubcommand("service")
	sub.Description = "plain service that echoes calls"
	sub.String(&f.listen, "", "listen", "address to listen on; port 0 picks a free one")
	sub.Float64(&f.delayMS, "", "delay-ms", "ms until a call is answered")
	sub.Int(&f.capacity, "", "capacity", "calls served at once, more get 503")
	sub.String(&f.crashMarker, "", "crash-marker", "body content that makes the process exit with status 3")
	sub.String(&f.journal, "", "journal", "file to append start and end records to")
	return command{sub: sub, run: func(ctx context.Context) error { return runService(ctx, f) }}
}

// runService serves until ctx is done, then waits for the accepted calls to end.
func runService(ctx context.Context, f serviceFlags) error {
	s, err := service.New(service.Options{
		Delay:       milliseconds(f.delayMS),
		Capacity:    f.capacity,
		CrashMarker: f.crashMarker,
		Journal:     f.journal,
	})
	if err != nil {
		return fmt.Errorf("service: %w", err)
	}
	drainAndWait := func() {
		s.Drain()
		s.Wait()
	}
	if err := process.Serve(ctx, f.listen, s.Handler(), os.Stdout, drainAndWait); err != nil {
		return fmt.Errorf("service: %w", err)
	}
	return s.Close()
}
