package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// adminHeaderTimeout bounds the reading of an operator's request header.
const adminHeaderTimeout = 5 * time.Second

// warmTime bounds the wait for the first report of a target. With every target
// down, a truthful refusal is better than a host that the balancer leaves out.
const warmTime = 5 * time.Second

// backend gives operators what only this daemon knows.
type backend struct {
	daemon *Daemon
}

// Targets implements admin.Backend.
func (b backend) Targets() []target.Status {
	return b.daemon.poller.View()
}

// LiveHolders implements admin.Backend.
func (b backend) LiveHolders() []string {
	s := b.daemon.session.Load()
	if s == nil {
		return nil
	}
	var live []string
	for _, p := range s.view.Peers() {
		live = append(live, p.Incarnation)
	}
	return live
}

// Journal implements admin.Backend.
func (b backend) Journal() []admin.JournalEntry {
	return b.daemon.repairs.list()
}

// Explain implements admin.Backend.
func (b backend) Explain(customer, request string) []telemetry.Step {
	steps, _ := b.daemon.journal.Explain(customer, request)
	return steps
}

// adminHandler joins the operators' API with metrics and health checks.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/admin/", admin.NewServer(admin.Config{
		Table:   d.platform,
		Store:   d.store,
		Watcher: d.watcher,
		Backend: backend{d},
		OnCall:  d.logAdminCall,
	}))
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.ready)
	return mux
}

// readiness is the answer of /readyz.
type readiness struct {
	Ready   bool   `json:"ready"`
	Phase   string `json:"phase"`
	Bundle  uint64 `json:"bundle_version"`
	Targets int    `json:"targets"`
}

// warm reports whether a first target has reported, or warmTime has passed
// since the start. A host that is ready before that refuses with no_target.
func (d *Daemon) warm(now time.Time) bool {
	if d.warmed.Load() || now.Sub(d.started) >= warmTime {
		return true
	}
	for _, s := range d.poller.View() {
		if !s.Snapshot.ReportedAt.IsZero() {
			d.warmed.Store(true)
			return true
		}
	}
	return false
}

func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	r := readiness{Phase: d.life.phase(), Bundle: d.watcher.Version(), Targets: len(d.poller.View())}
	r.Ready = r.Phase == phaseServing && r.Bundle > 0 && d.warm(time.Now())
	w.Header().Set("Content-Type", "application/json")
	if !r.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(r) // the client left
}
