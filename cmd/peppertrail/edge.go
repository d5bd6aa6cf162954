package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/edge"
)

// edgeTimeout bounds the answer of one edge daemon.
const edgeTimeout = 3 * time.Second

// edgeCommands ask edge daemons what they believe.
type edgeCommands struct {
	app *app
	at  []string // operators' addresses of the daemons
}

func (a *app) registerEdge() {
	group := a.group("edge", "edge daemons, which take everything from a platform's store")
	e := &edgeCommands{app: a}
	for _, c := range []struct {
		name, description string
		print             func([]edge.State)
	}{
		{"hosts", "configuration in force on each host, and its age", e.printHosts},
		{"budgets", "what each host holds, has spent and may spend of each budget", e.printBudgets},
		{"targets", "what each host believes of each target", e.printTargets},
	} {
		sub := a.command(group, c.name, c.description, func(ctx context.Context) error { return e.ask(ctx, c.print) })
		sub.StringSlice(&e.at, "", "at", "address of a daemon's operators' listener; may be repeated")
	}
	a.registerExplain(group)
}

// ask reads the state of every daemon. Daemons that do not answer are named
// after the others are printed.
func (e *edgeCommands) ask(ctx context.Context, print func([]edge.State)) error {
	if len(e.at) == 0 {
		return usage("--at", "no address", "name at least one daemon, such as 10.1.0.40:8229")
	}
	var states []edge.State
	var failed []error
	for _, address := range e.at {
		state, err := readState(ctx, address)
		if err != nil {
			failed = append(failed, fmt.Errorf("daemon at %s: %w", address, err))
			continue
		}
		states = append(states, state)
	}
	if err := e.app.show(states, func() { print(states) }); err != nil {
		return err
	}
	return errors.Join(failed...)
}

func readState(ctx context.Context, address string) (edge.State, error) {
	ctx, cancel := context.WithTimeout(ctx, edgeTimeout)
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
			s.ConfigurationAge.Round(time.Second).String(), strconv.Itoa(s.Hosts), strconv.Itoa(len(s.Targets)),
		})
	}
	e.app.table([]string{"HOST", "READY", "LEAVING", "CONFIGURATION", "AGE", "HOSTS SEEN", "TARGETS"}, rows)
}

func (e *edgeCommands) printBudgets(states []edge.State) {
	var rows [][]string
	for _, s := range states {
		for _, b := range s.Budgets {
			rows = append(rows, []string{
				b.Customer, s.Host, number(b.Prepaid), number(b.Settled), number(b.Allotted), number(b.Held), number(b.Spent),
				number(b.Reserved), number(b.Limit), b.ReportAge.Round(10 * time.Millisecond).String(), yesNo(b.Reachable),
			})
		}
	}
	sortRows(rows)
	e.app.table([]string{"CUSTOMER", "HOST", "PREPAID", "SETTLED", "ALLOTTED", "HELD", "SPENT", "RESERVED", "LIMIT", "REPORT AGE", "REACHABLE"}, rows)
}

func (e *edgeCommands) printTargets(states []edge.State) {
	var rows [][]string
	for _, s := range states {
		for _, t := range s.Targets {
			rows = append(rows, []string{
				t.Service, t.ID, t.Addr, s.Host, strconv.Itoa(t.InFlight), decimal(t.Load), decimal(t.Slowness),
				decimal(t.FailedShare), yesNo(t.Available), yesNo(t.Draining),
			})
		}
	}
	sortRows(rows)
	e.app.table([]string{"SERVICE", "TARGET", "ADDRESS", "HOST", "IN FLIGHT", "LOAD", "SLOWNESS", "FAILED", "AVAILABLE", "DRAINING"}, rows)
}

func sortRows(rows [][]string) {
	slices.SortFunc(rows, func(a, b []string) int { return slices.Compare(a, b) })
}

func number(n int64) string { return strconv.FormatInt(n, 10) }

func decimal(f float64) string { return strconv.FormatFloat(f, 'f', 2, 64) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
