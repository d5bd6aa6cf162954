package edge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/alexedwards/flow"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/escrow"
)

// readiness serves the balancer's question.
func (d *Daemon) readiness() http.Handler {
	mux := flow.New()
	mux.HandleFunc(d.layout.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, http.MethodGet)
	return mux
}

// State is what the daemon believes, for operators.
type State struct {
	Host                 string           `json:"host"`
	Ready                bool             `json:"ready"`
	Leaving              bool             `json:"leaving"`
	Hosts                int              `json:"hosts"` // that report to the store
	ConfigurationVersion int64            `json:"configuration_version"`
	ConfigurationAge     time.Duration    `json:"configuration_age_ns"` // since it came into force on this host
	Targets              []balance.Status `json:"targets"`
	Budgets              []escrow.Status  `json:"budgets"`
}

// admin serves metrics and the daemon's state.
func (d *Daemon) admin() http.Handler {
	mux := flow.New()
	mux.Handle("/metrics", d.metrics.handler(), http.MethodGet)
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(d.state()); err != nil {
			d.log.Info().Err(err).Msg("State not sent.")
		}
	}, http.MethodGet)
	return mux
}

func (d *Daemon) state() State {
	s := State{
		Host: d.settings.Host, Ready: d.Ready(), Leaving: d.leaving.Load(), Hosts: d.budgets.Hosts(),
		Targets: d.targets.Status(time.Now()), Budgets: d.budgets.Status(),
	}
	if c := d.configuration.Load(); c != nil {
		s.ConfigurationVersion = c.Version
		s.ConfigurationAge = time.Since(*d.adoptedAt.Load())
	}
	return s
}
