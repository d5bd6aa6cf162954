package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// adminHeaderTimeout is the time limit for reading the header of an admin API request.
const adminHeaderTimeout = 5 * time.Second

// firstReportTimeout is how long after its start a daemon reports itself as not
// ready while no target has reported. Then it becomes ready even if every target
// is down, because otherwise the load balancer would never include the host, and
// callers would not receive the actual reason of the refusal.
const firstReportTimeout = 5 * time.Second

// backend provides the admin API with the state of this daemon.
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

// LocalRepairs implements admin.Backend.
func (b backend) LocalRepairs() []admin.RepairEntry {
	return b.daemon.repairs.list()
}

// Explain implements admin.Backend.
func (b backend) Explain(customer, request string) []telemetry.Step {
	steps, _ := b.daemon.journal.Explain(customer, request)
	return steps
}

// adminHandler serves the admin API, the metrics and the health checks.
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
	mux.HandleFunc("GET /readyz", d.serveReadiness)
	return mux
}

// readiness is the response body of /readyz.
type readiness struct {
	Ready   bool   `json:"ready"`
	Phase   string `json:"phase"`
	Bundle  uint64 `json:"bundle_version"`
	Targets int    `json:"targets"`
}

// targetReportedOrTimedOut reports whether at least one target has reported or
// firstReportTimeout has passed since the start of the daemon. A host that
// became ready earlier would refuse requests with no_target.
func (d *Daemon) targetReportedOrTimedOut(now time.Time) bool {
	if d.targetReported.Load() || now.Sub(d.started) >= firstReportTimeout {
		return true
	}
	for _, s := range d.poller.View() {
		if !s.Snapshot.ReportedAt.IsZero() {
			d.targetReported.Store(true)
			return true
		}
	}
	return false
}

func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	r := readiness{Phase: d.lifecycle.phase(), Bundle: d.watcher.Version(), Targets: len(d.poller.View())}
	r.Ready = r.Phase == phaseServing && r.Bundle > 0 && d.targetReportedOrTimedOut(time.Now())
	w.Header().Set("Content-Type", "application/json")
	if !r.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(r) // a write error means that the client disconnected
}
