package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// stepTimeLayout is the time layout of a step, with milliseconds.
const stepTimeLayout = "15:04:05.000"

// requestArgs holds the positional arguments of requests show.
type requestArgs struct {
	customer string
	id       string
}

func (a *app) registerRequests() {
	group := a.addGroup("requests", "requests of callers")
	var show requestArgs
	sub := a.addCommand(group, "show", "show what happened to a request and why", func(ctx context.Context) error { return a.showRequest(ctx, show) })
	sub.AddPositionalValue(&show.customer, "customer", 1, true, "id of the customer")
	sub.AddPositionalValue(&show.id, "request", 2, true, "request id: the idempotency key, or the id in the answer")
	a.registerSend(group)
}

func (a *app) showRequest(ctx context.Context, args requestArgs) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	reply, err := client.Request(ctx, args.customer, args.id)
	if err != nil {
		return err
	}
	return a.printResult(reply, func() {
		fmt.Fprintf(a.stdout, "request %s of customer %s\n%s\n", reply.Request, reply.Customer, reply.Explanation)
		if len(reply.Steps) > 0 {
			a.printSteps(reply.Steps)
		}
	})
}

// printSteps prints the decisions that the answering daemon made about the request.
func (a *app) printSteps(steps []telemetry.Step) {
	fmt.Fprintln(a.stdout, "\ndecisions of this daemon:")
	rows := make([][]string, 0, len(steps))
	for _, s := range steps {
		rows = append(rows, []string{
			s.At.UTC().Format(stepTimeLayout), string(s.Kind), strconv.Itoa(s.Attempt), s.Target, s.Stream, formatTokens(s.Tokens), string(s.Reason), s.Detail,
		})
	}
	a.printTable([]string{"AT", "STEP", "ATTEMPT", "TARGET", "STREAM", "TOKENS", "REASON", "WHY"}, rows)
}
