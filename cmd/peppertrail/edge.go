package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/edge"
)

// edgeRequestTimeout limits the time of one request to an edge daemon.
const edgeRequestTimeout = 3 * time.Second

// edgeCommands implements the commands that print the state of edge daemons.
type edgeCommands struct {
	app       *app
	addresses []string // address of the operators' listener of each daemon
}

func (a *app) registerEdge() {
	group := a.addGroup("edge", "edge daemons, which take everything from a platform's store")
	e := &edgeCommands{app: a}
	for _, c := range []struct {
		name, description string
		print             func([]edge.State)
	}{
		{"hosts", "configuration in force on each host, and its age", e.printHosts},
		{"budgets", "what each host holds, has spent and may spend of each budget", e.printBudgets},
		{"targets", "what each host believes of each target", e.printTargets},
		{"blocked-parts", "parts of prompts that crash targets, whose requests each host refuses", e.printBlockedParts},
		{"blocked-requests", "requests that crash targets and that each host refuses", e.printBlockedRequests},
	} {
		sub := a.addCommand(group, c.name, c.description, func(ctx context.Context) error { return e.printStates(ctx, c.print) })
		sub.StringSlice(&e.addresses, "", "at", "address of a daemon's operators' listener; may be repeated")
	}
	a.registerExplain(group)
}

// printStates fetches and prints the state of each daemon. Daemons that do not
// answer are reported in the returned error, after the others have been printed.
func (e *edgeCommands) printStates(ctx context.Context, printTables func([]edge.State)) error {
	if len(e.addresses) == 0 {
		return newUsageError("--at", "no address", "name at least one daemon, such as 10.1.0.40:8229")
	}
	var states []edge.State
	var failed []error
	for _, address := range e.addresses {
		state, err := fetchState(ctx, address)
		if err != nil {
			failed = append(failed, fmt.Errorf("daemon at %s: %w", address, err))
			continue
		}
		states = append(states, state)
	}
	if err := e.app.printResult(states, func() { printTables(states) }); err != nil {
		return err
	}
	return errors.Join(failed...)
}

func fetchState(ctx context.Context, address string) (edge.State, error) {
	ctx, cancel := context.WithTimeout(ctx, edgeRequestTimeout)
	defer cancel()
	var state edge.State
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return state, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("status %d", response.StatusCode)
	}
	return state, json.NewDecoder(response.Body).Decode(&state)
}

func (e *edgeCommands) printHosts(states []edge.State) {
	var rows [][]string
	for _, s := range states {
		rows = append(rows, []string{
			s.Host, yesNo(s.Ready), yesNo(s.ShuttingDown), strconv.FormatInt(s.ConfigurationVersion, 10),
			s.ConfigurationAge.Round(time.Second).String(), s.ConfigurationBehind.Round(time.Second).String(), strconv.Itoa(s.Hosts), strconv.Itoa(len(s.Targets)), strings.Join(s.LostPaths, " "),
		})
	}
	e.app.printTable([]string{"HOST", "READY", "LEAVING", "CONFIGURATION", "AGE", "BEHIND", "HOSTS SEEN", "TARGETS", "NO PATH TO"}, rows)
}

func (e *edgeCommands) printBudgets(states []edge.State) {
	var rows [][]string
	for _, s := range states {
		for _, b := range s.Budgets {
			rows = append(rows, []string{
				b.Customer, s.Host, formatInt(b.Prepaid), formatInt(b.Settled), formatInt(b.Allotted), formatInt(b.Held), formatInt(b.Spent),
				formatInt(b.Reserved), formatInt(b.Limit), b.ReportAge.Round(10 * time.Millisecond).String(), yesNo(b.Reachable),
			})
		}
	}
	sortRows(rows)
	e.app.printTable([]string{"CUSTOMER", "HOST", "PREPAID", "SETTLED", "ALLOTTED", "HELD", "SPENT", "RESERVED", "LIMIT", "REPORT AGE", "REACHABLE"}, rows)
}

func (e *edgeCommands) printTargets(states []edge.State) {
	var rows [][]string
	for _, s := range states {
		limits := make(map[string]string)
		for _, l := range s.RateLimits {
			limits[l.ID] = formatDecimal(l.PerSecond)
		}
		for _, t := range s.Targets {
			rows = append(rows, []string{
				t.Service, t.ID, t.Addr, s.Host, strconv.Itoa(t.InFlight), formatDecimal(t.Load), formatDecimal(t.Slowness),
				formatDecimal(t.FailedShare), cmp.Or(limits[t.ID], "none"), yesNo(t.Available), yesNo(t.Draining),
			})
		}
	}
	sortRows(rows)
	e.app.printTable([]string{"SERVICE", "TARGET", "ADDRESS", "HOST", "IN FLIGHT", "LOAD", "SLOWNESS", "FAILED", "LIMIT/S", "AVAILABLE", "DRAINING"}, rows)
}

func (e *edgeCommands) printBlockedParts(states []edge.State) {
	var rows [][]string
	for _, s := range states {
		for _, part := range s.BlockedParts {
			rows = append(rows, []string{part, s.Host})
		}
	}
	sortRows(rows)
	e.app.printTable([]string{"PART", "HOST"}, rows)
}

func (e *edgeCommands) printBlockedRequests(states []edge.State) {
	var rows [][]string
	for _, s := range states {
		for _, request := range s.BlockedRequests {
			rows = append(rows, []string{request, s.Host})
		}
	}
	sortRows(rows)
	e.app.printTable([]string{"REQUEST", "HOST"}, rows)
}

func sortRows(rows [][]string) {
	slices.SortFunc(rows, func(a, b []string) int { return slices.Compare(a, b) })
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func formatDecimal(f float64) string { return strconv.FormatFloat(f, 'f', 2, 64) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
