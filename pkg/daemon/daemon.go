// Package daemon assembles the components of peppertraild: it starts them in
// order, registers the host, and stops it without interrupting open requests.
package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/config"
	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/gateway"
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/peer"
	"github.com/peppertrail/peppertrail/pkg/route"
	"github.com/peppertrail/peppertrail/pkg/storage/remote"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// maxReportRate is the maximum number of target reports that a daemon reads per
// second. A report costs about 300 bytes and 0.2 ms of processor time, so reading
// 600 targets every 500 ms would take a fifth of a core or more. At this rate 600
// targets are read every 5 s, which is half of the time after which a target that
// does not report is considered gone.
const maxReportRate = 120

// journalSize is the number of recent requests whose decisions the daemon keeps for operators.
const journalSize = 20000

// Daemon is one router process.
type Daemon struct {
	config       config.Config
	logs         *telemetry.Logs
	log          *log.Logger
	metrics      *telemetry.Metrics
	journal      *telemetry.Journal
	repairs      *repairLog
	platform     *remote.Client
	store        *bundle.Store
	watcher      *bundle.Watcher
	poller       *target.Poller
	picker       *picker
	engine       *engine.HTTPClient
	pool         *peer.Pool
	local        *home.Local  // budget authority of this daemon
	router       *home.Router // nil if buildAuthorities is set
	gateway      *gateway.Server
	callerServer *http.Server // HTTP server of gateway
	admin        http.Handler
	lifecycle    *lifecycle
	session      atomic.Pointer[session]
	peerAddr     string // address that other daemons connect to
	targets      targetList

	started               time.Time
	targetReported        atomic.Bool  // at least one target has reported
	lastTargetLossNs      atomic.Int64 // Unix time in nanoseconds at which a target was last lost
	previousBundleVersion uint64       // last adopted version; accessed only by the watcher's callback
	listeners             *listeners
	buildAuthorities      AuthoritiesFunc // nil: use router
}

// New builds a daemon from validated settings. Logs are written to out. It does no
// I/O apart from reading the TLS files.
func New(c config.Config, out io.Writer, options ...Option) (*Daemon, error) {
	logs, err := telemetry.NewLogs(c.LogLevel, c.LogFormat, out)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		config:   c,
		started:  time.Now(),
		logs:     logs,
		log:      logs.Logger("daemon"),
		metrics:  telemetry.NewMetrics(),
		journal:  telemetry.NewJournal(journalSize),
		platform: remote.New(c.Platform.String(), c.PlatformTimeout),
		engine:   engine.NewHTTPClient(engine.Options{IdleTimeout: c.IdleTimeout}),
	}
	for _, option := range options {
		option(d)
	}
	d.lifecycle = newLifecycle(d.log)
	d.repairs = newRepairLog(logs.Logger("repair"), d.metrics)
	if d.listeners, err = newListeners(c); err != nil {
		return nil, err
	}
	d.pool = peer.NewPool(peer.Options{TLS: d.listeners.peerClientTLS})
	d.buildBundles()
	d.buildTargets()
	d.buildHome()
	return d, d.buildServers()
}

func (d *Daemon) buildBundles() {
	bootstrap := bootstrapOperators(d.config)
	d.store = bundle.NewStore(d.platform, bootstrap)
	d.watcher = bundle.NewWatcher(bundle.WatcherConfig{
		Store:        d.store,
		Bootstrap:    bootstrap,
		PollInterval: d.config.BundlePollInterval,
		OnAdopt:      d.onBundleAdopted,
		OnPoll:       d.onBundlePolled,
	})
}

func (d *Daemon) buildTargets() {
	d.poller = target.NewPoller(target.PollerSettings{Interval: d.config.ReportInterval, MaxReportRate: maxReportRate})
	d.picker = newPicker(d.poller, route.NewPicker(route.DefaultSettings()))
}

func (d *Daemon) buildHome() {
	d.local = home.NewLocal(home.Options{
		Table:             d.platform,
		Committer:         noCommitter{},
		Policies:          d.grantPolicy,
		QueryOpenAttempts: d.queryEntryAttempts,
		Observer:          &homeObserver{log: d.logs.Logger("home"), metrics: d.metrics, repairs: d.repairs},
	})
}

func (d *Daemon) buildServers() error {
	server, err := gateway.New(gateway.Options{
		Catalogs:       catalogSource{d.watcher},
		Picker:         d.picker,
		Targets:        d.picker,
		Authorities:    d.authorities(),
		Engine:         d.engine,
		RetryBudget:    d.picker,
		Identity:       d,
		Claims:         claims{d.platform},
		Metrics:        d.metrics,
		Journal:        d.journal,
		Logger:         d.logs.Logger("gateway"),
		MaxBodyBytes:   d.config.MaxBodyBytes,
		SettleWait:     d.config.SettleWait,
		RequestTimeout: d.config.RequestTimeout,
	})
	if err != nil {
		return fmt.Errorf("build gateway: %w", err)
	}
	d.gateway = server
	d.callerServer = server.HTTPServer()
	d.admin = d.adminHandler()
	return nil
}

// Run serves until ctx ends, then stops gracefully. It returns an error if the
// daemon failed to start, a listener failed, or the graceful stop did not complete
// within the drain timeout.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// Runs before stop, whose effect on the listeners is not waited for: a process that is
	// started at the same addresses once Run has returned must find them free.
	defer d.listeners.close()
	if err := d.listeners.open(ctx); err != nil {
		return err
	}
	d.peerAddr = advertisedPeerAddr(d.config, d.listeners.peers.Addr())
	failed := make(chan error, 3)
	d.serve(background, failed)
	if err := d.startSession(ctx); err != nil {
		return err
	}
	d.startLoops(background)
	d.lifecycle.fire(triggerStarted)
	d.log.Info().Str("callers", d.listeners.callers.Addr().String()).Str("operators", d.listeners.operators.Addr().String()).Str("peers", d.peerAddr).Msg("Daemon started.")
	select {
	case err := <-failed:
		return fmt.Errorf("listener: %w", err)
	case <-ctx.Done():
		return d.shutdown()
	}
}

// startLoops starts the background loops, which run until the daemon has stopped.
func (d *Daemon) startLoops(ctx context.Context) {
	go d.poller.Run(ctx)
	go d.local.Run(ctx)
	go d.watchBundles(ctx)
	go d.newBundlePull().run(ctx)
	go d.watchMembers(ctx)
	go d.watchDrains(ctx)
	go d.repairLoop(ctx)
	go d.runPeriodicTasks(ctx)
}
