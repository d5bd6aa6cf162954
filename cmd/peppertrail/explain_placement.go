package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/edge"
	"github.com/peppertrail/peppertrail/pkg/forward"
)

// maxErrorBytes bounds what is shown of an error response.
const maxErrorBytes = 1 << 10

// explainPlacementCommand prints which target a request would get at a daemon, and why.
type explainPlacementCommand struct {
	app                    *app
	address                string
	route, customer, parts string
	prompt, output         int64
}

func (a *app) registerExplainPlacement() {
	group := a.addGroup("explain", "why daemons decide as they do")
	e := &explainPlacementCommand{app: a}
	sub := a.addCommand(group, "placement", "which target a request would get now, and why; nothing is sent", e.run)
	sub.String(&e.address, "", "at", "address of the daemon's operators' listener")
	sub.String(&e.route, "", "route", "name of the route")
	sub.String(&e.customer, "", "customer", "name of the customer")
	sub.String(&e.parts, "", "parts", "parts of the prompt as ID:TOKENS,ID:TOKENS; the last one is the request's own")
	sub.Int64(&e.prompt, "", "prompt", "tokens of the prompt; default: the sum of the parts")
	sub.Int64(&e.output, "", "output", "expected tokens of the output")
}

func (e *explainPlacementCommand) run(ctx context.Context) error {
	if e.address == "" {
		return newUsageError("--at", "no address", "name a daemon, such as 10.1.0.40:8229")
	}
	if e.route == "" {
		return newUsageError("--route", "no route", "name the route of the request")
	}
	placement, err := e.fetch(ctx)
	if err != nil {
		return fmt.Errorf("daemon at %s: %w", e.address, err)
	}
	return e.app.printResult(placement, func() { e.print(placement) })
}

func (e *explainPlacementCommand) fetch(ctx context.Context) (forward.Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, edgeRequestTimeout)
	defer cancel()
	query := url.Values{"route": {e.route}, "customer": {e.customer}, "parts": {e.parts}, "prompt": {strconv.FormatInt(e.prompt, 10)}, "output": {strconv.FormatInt(e.output, 10)}}
	var placement forward.Placement
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+edge.PlacementPath+"?"+query.Encode(), nil)
	if err != nil {
		return placement, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return placement, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // only for the message
		return placement, fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	return placement, json.NewDecoder(response.Body).Decode(&placement)
}

func (e *explainPlacementCommand) print(p forward.Placement) {
	if p.Refused != "" {
		fmt.Fprintf(e.app.stdout, "The request would be refused: %s\n", p.Refused)
	}
	for _, service := range p.Services {
		e.printService(service)
	}
}

func (e *explainPlacementCommand) printService(p forward.ServicePlacement) {
	out := e.app.stdout
	fmt.Fprintf(out, "Service %s, weight %d\n", p.Service, p.Weight)
	if p.Refused != "" {
		fmt.Fprintf(out, "Refused: %s", p.Refused)
		if p.Error != "" {
			fmt.Fprintf(out, " (%s)", p.Error)
		}
		fmt.Fprintln(out)
	}
	if p.Target != "" {
		fmt.Fprintf(out, "Target: %s (%s)\n", p.Target, p.Reason)
	}
	if len(p.Equal) > 0 {
		fmt.Fprintf(out, "Equally loaded, one is chosen at random: %s\n", strings.Join(p.Equal, ", "))
	}
	if p.LoadLimit > 0 {
		fmt.Fprintf(out, "Limit of the load for the order of the shared part: %s\n", formatDecimal(p.LoadLimit))
	}
	var rows [][]string
	for _, c := range p.Candidates {
		mark := " "
		if c.ID == p.Target {
			mark = "*"
		}
		rows = append(rows, []string{
			mark, c.ID, strconv.Itoa(c.Order), formatDecimal(c.Load), formatDecimal(c.Requests), formatInt(c.PrefillTokens), formatDecimal(c.Slowness),
			strconv.Itoa(c.InFlight), strconv.Itoa(c.Slots), yesNo(c.Reachable), yesNo(c.NeedsPermit),
		})
	}
	e.app.printTable([]string{"", "CANDIDATE", "ORDER", "LOAD", "REQUESTS", "PREFILL", "SLOWNESS", "IN FLIGHT", "SLOTS", "CONNECTION", "PERMIT"}, rows)
	if len(p.Excluded) == 0 {
		return
	}
	rows = nil
	for _, x := range p.Excluded {
		rows = append(rows, []string{x.ID, x.Reason})
	}
	e.app.printTable([]string{"EXCLUDED", "REASON"}, rows)
}
