package edge

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/alexedwards/flow"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/ratelimit"
)

// readinessHandler serves the readiness check of the load balancer: status 200 if
// the daemon is ready, 503 otherwise.
func (d *Daemon) readinessHandler() http.Handler {
	mux := flow.New()
	mux.HandleFunc(d.layout.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, http.MethodGet)
	return mux
}

// State is the state of the daemon as shown to operators.
type State struct {
	Host                 string            `json:"host"`
	Ready                bool              `json:"ready"`
	ShuttingDown         bool              `json:"leaving"`
	Hosts                int               `json:"hosts"` // number of hosts that report to the store
	ConfigurationVersion int64             `json:"configuration_version"`
	ConfigurationAge     time.Duration     `json:"configuration_age_ns"`    // time since the configuration was applied on this host
	ConfigurationBehind  time.Duration     `json:"configuration_behind_ns"` // time for which another host has had a newer one
	LostPaths            []string          `json:"lost_paths,omitempty"`    // services of which no target can be reached
	Targets              []balance.Status  `json:"targets"`
	Budgets              []escrow.Status   `json:"budgets"`
	RateLimits           []ratelimit.Limit `json:"rate_limits,omitempty"`      // of targets that name one
	BlockedParts         []string          `json:"blocked_parts,omitempty"`    // parts of prompts that crash targets
	BlockedRequests      []string          `json:"blocked_requests,omitempty"` // requests that crash targets, by the key in their log lines
}

// adminHandler serves the metrics, the state and the placements of the daemon.
func (d *Daemon) adminHandler() http.Handler {
	mux := flow.New()
	mux.Handle("/metrics", d.metrics.handler(), http.MethodGet)
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(d.state()); err != nil {
			d.log.Info().Err(err).Msg("State response could not be sent.")
		}
	}, http.MethodGet)
	mux.HandleFunc(PlacementPath, d.servePlacement, http.MethodGet)
	return mux
}

func (d *Daemon) state() State {
	s := State{
		Host: d.settings.Host, Ready: d.Ready(), ShuttingDown: d.stop.Load() != nil, Hosts: d.budgets.Hosts(),
		Targets: d.targets.Status(time.Now()), Budgets: d.budgets.Status(),
	}
	s.RateLimits = d.limitedTargets()
	s.ConfigurationBehind = d.configurationBehind()
	s.LostPaths = slices.Sorted(maps.Keys(d.targets.LostPaths(time.Now())))
	s.BlockedParts = d.crashes.BlockedParts(time.Now())
	s.BlockedRequests = d.crashes.BlockedRequests(time.Now())
	if c := d.configuration.Load(); c != nil {
		s.ConfigurationVersion = c.Version
		s.ConfigurationAge = time.Since(*d.configurationAppliedAt.Load())
	}
	return s
}
