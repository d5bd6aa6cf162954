package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/peppertrail/peppertrail/pkg/admin"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // refused or failed
	exitUsage  = 2 // bad input or usage
)

// app is one invocation of the tool.
type app struct {
	stdout   io.Writer
	stderr   io.Writer
	getenv   func(string) string
	settings settings
	parser   *flaggy.Parser
	commands []command
}

func newApp(stdout, stderr io.Writer, getenv func(string) string) *app {
	a := &app{stdout: stdout, stderr: stderr, getenv: getenv}
	a.parser = flaggy.NewParser("peppertrail")
	a.parser.Description = "operates a peppertrail fleet and sends requests through it"
	a.parser.Version = buildVersion()
	a.parser.ShowCompletion = false
	a.settings.registerFlags(a.parser)
	a.registerKeys()
	a.registerBundle()
	a.registerCustomers()
	a.registerBudgets()
	a.registerBill()
	a.registerTargets()
	a.registerHosts()
	a.registerRequests()
	a.registerRepairs()
	a.registerEdge()
	a.registerExplainPlacement()
	return a
}

// run parses the arguments, runs the command and returns the exit code.
func (a *app) run(ctx context.Context, args []string) int {
	if err := a.parser.ParseArgs(args); err != nil {
		return a.report(newUsageError("arguments", err.Error(), "see --help"))
	}
	a.settings.applyEnvironment(a.getenv)
	for _, c := range a.commands {
		if c.sub.Used {
			return a.report(c.run(ctx))
		}
	}
	a.parser.ShowHelpWithMessage("name a command")
	return exitUsage
}

// report prints an error and returns the exit code for it.
func (a *app) report(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(a.stderr, "peppertrail:", err)
	var usageErr *usageError
	if errors.As(err, &usageErr) {
		return exitUsage
	}
	var apiErr *admin.Error
	if !errors.As(err, &apiErr) {
		return exitFailed
	}
	if apiErr.RetryAfter > 0 {
		fmt.Fprintln(a.stderr, "peppertrail: retry after", apiErr.RetryAfter)
	}
	if apiErr.Code == admin.BadRequest {
		return exitUsage
	}
	return exitFailed
}
