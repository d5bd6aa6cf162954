package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/replica"
	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/platform/rig"
)

const (
	firstBudget = 150_000 // tokens
	topUp       = 30_000
	lastTopUp   = 20_000_000 // for the requests after the faults
	// recoveryLimit is the time after the last fault in which all hosts serve again.
	recoveryLimit = 15 * time.Second
	startLimit    = 15 * time.Second
)

// world is a fleet under faults, with what its callers saw.
type world struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand // of the plan; one goroutine
	fleet  *rig.Fleet
	hosts  []*host
	links  []*link // to the targets
	book   book

	version  int
	prepaid  atomic.Int64
	cancel   context.CancelFunc
	running  sync.WaitGroup
	restarts sync.WaitGroup
	played   map[string]int // faults by name
}

// host is a daemon and what is done to it now.
type host struct {
	*rig.Daemon
	mu sync.Mutex
	hostState
	busy   bool              // a fault of the process is under way
	served map[int]time.Time // first answer of this process, by version of the configuration
}

// hostState is what is done to a daemon's process at a moment.
type hostState struct {
	process int  // counts processes, and pauses of them
	forced  bool // this process was or will be killed
	stopped bool // this process was told to stop
	paused  bool // it is suspended, or was until a moment ago
}

// disturbed tells whether callers may lose a connection to the process.
func (s hostState) disturbed() bool { return s.forced || s.paused || s.stopped }

func (h *host) state() hostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hostState
}

func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	t.Logf("seed %d", seed)
	fleet, err := rig.New(t.TempDir(), "../../cmd/peppertraild", 0)
	assert.NilError(t, err)
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), fleet: fleet, played: make(map[string]int)}
	w.book.init(t)
	for i := range setting(t, "SOAK_TARGETS", defaultTargets) {
		r := replica.New(fmt.Sprintf("i-%d", i), rig.Headers())
		t.Cleanup(r.Close)
		l, err := newLink(r)
		assert.NilError(t, err)
		t.Cleanup(l.proxy.Close)
		w.links = append(w.links, l)
		fleet.Register(r, l.proxy.Addr(), "ready")
	}
	w.prepaid.Store(firstBudget)
	w.configure()
	for i := range setting(t, "SOAK_HOSTS", defaultHosts) {
		d, end, err := fleet.NewDaemon(fmt.Sprintf("edge-%d", i))
		assert.NilError(t, err)
		t.Cleanup(end)
		assert.NilError(t, d.Start())
		t.Cleanup(func() { _ = d.Signal(os.Kill) }) // it may have ended
		w.hosts = append(w.hosts, &host{Daemon: d, served: make(map[int]time.Time)})
	}
	for _, h := range w.hosts {
		w.await(h.Name+" ready", startLimit, h.Ready)
	}
	return w
}

// configure brings the next configuration into force. Each has a route that no
// other has, which shows the one that a host serves.
func (w *world) configure() {
	w.version++
	w.fleet.Configure(w.version, w.prepaid.Load(), "/menu/", versionPath(w.version))
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

func (w *world) await(what string, limit time.Duration, done func() bool) {
	w.t.Helper()
	if !rig.WaitUntil(limit, done) {
		w.t.Errorf("not within %v: %s", limit, what)
	}
}

// heal ends all faults and brings the budget up.
func (w *world) heal() {
	w.restarts.Wait()
	w.checkBudget()
	for _, h := range w.hosts {
		h.Store.SetFaults(rowstore.Faults{})
	}
	for _, l := range w.links {
		l.SetFaults(replica.Faults{})
		l.setSilent(false)
		w.fleet.Register(l.Replica, l.proxy.Addr(), "ready")
	}
	w.prepaid.Add(lastTopUp)
	w.configure()
}

// checkRecovery requires every host to be ready, in the newest configuration, and
// to serve both kinds of requests.
func (w *world) checkRecovery() {
	w.t.Helper()
	paths := []string{versionPath(w.version), "/order/"}
	for _, h := range w.hosts {
		w.await(h.Name+" ready after the faults", recoveryLimit, h.Ready)
		for _, path := range paths {
			served := 0 // in a row
			w.await(h.Name+" serves "+path+" after the faults", recoveryLimit, func() bool {
				if a := w.ask(h, path); a.Err == nil && a.Status == 200 {
					served++
				} else {
					served = 0
				}
				return served == 3
			})
		}
	}
}

// stopHosts stops all daemons, each of which must end cleanly.
func (w *world) stopHosts() {
	for _, h := range w.hosts {
		if err := h.Signal(syscall.SIGTERM); err != nil {
			w.t.Errorf("%s: %v", h.Name, err)
		}
	}
	for _, h := range w.hosts {
		w.checkStop(h)
	}
}

// checkStop requires a daemon that was told to stop to end cleanly in its grace.
func (w *world) checkStop(h *host) {
	if err := h.Wait((rig.GraceSeconds + 1) * time.Second); err != nil {
		w.t.Errorf("%s did not stop cleanly: %v", h.Name, err)
	}
}

// report keeps the logs of a failed run.
func (w *world) report() {
	w.t.Logf("faults %v; callers: %s", w.played, w.book.summary())
	if !w.t.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", w.seed))
	if err != nil {
		w.t.Errorf("keep logs: %v", err)
		return
	}
	for _, h := range w.hosts {
		if err := os.WriteFile(filepath.Join(dir, h.Name+".log"), []byte(h.Log()), 0o600); err != nil {
			w.t.Errorf("keep logs: %v", err)
		}
	}
	events := strings.Join(w.book.events(), "\n")
	if err := os.WriteFile(filepath.Join(dir, "events.log"), []byte(events), 0o600); err != nil {
		w.t.Errorf("keep events: %v", err)
	}
	w.t.Logf("SOAK_SEED=%d; logs in %s", w.seed, dir)
}
