package main

import (
	"context"
	"fmt"
)

// requestArgs are the positional arguments of requests show.
type requestArgs struct {
	customer string
	id       string
}

func (a *app) registerRequests() {
	group := a.group("requests", "requests of callers")
	var show requestArgs
	sub := a.command(group, "show", "show what the table knows of a request and what it means", func(ctx context.Context) error { return a.showRequest(ctx, show) })
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
	})
}
