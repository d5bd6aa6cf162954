package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// stepTime is the form of a step's time, to the millisecond.
const stepTime = "15:04:05.000"

// requestArgs are the positional arguments of requests show.
type requestArgs struct {
	customer string
	id       string
}

func (a *app) registerRequests() {
	group := a.group("requests", "requests of callers")
	var show requestArgs
	sub := a.command(group, "show", "show what happened to a request and why", func(ctx context.Context) error { return a.showRequest(ctx, show) })
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
	return a.show(reply, func() {
		fmt.Fprintf(a.stdout, "request %s of customer %s\n%s\n", reply.Request, reply.Customer, reply.Explanation)
		if len(reply.Steps) > 0 {
			a.showSteps(reply.Steps)
		}
	})
}

// showSteps prints what the answering daemon decided about the request.
func (a *app) showSteps(steps []telemetry.Step) {
	fmt.Fprintln(a.stdout, "\ndecisions of this daemon:")
	rows := make([][]string, 0, len(steps))
	for _, s := range steps {
		rows = append(rows, []string{
			s.At.UTC().Format(stepTime), string(s.Kind), strconv.Itoa(s.Attempt), s.Target, s.Stream, tokens(s.Tokens), string(s.Reason), s.Detail,
		})
	}
	a.table([]string{"AT", "STEP", "ATTEMPT", "TARGET", "STREAM", "TOKENS", "REASON", "WHY"}, rows)
}
