// Command peppertrail is the command-line tool of operators and callers.
//
// Exit codes: 0 success, 1 refused or failed, 2 bad input or usage.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := newApp(os.Stdout, os.Stderr, os.Getenv).run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
