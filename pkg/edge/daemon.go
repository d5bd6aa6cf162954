package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/forward"
	"github.com/peppertrail/peppertrail/pkg/gossip"
	"github.com/peppertrail/peppertrail/pkg/relay"
	"github.com/peppertrail/peppertrail/pkg/routing"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

const (
	// configurationPollTimeout is how long a feed call waits for a new
	// configuration. It also bounds the time until a dead connection to the store
	// is detected.
	configurationPollTimeout = 1500 * time.Millisecond
	configurationPollPause   = 20 * time.Millisecond
	// Targets renew their registrations continuously, so feed calls return almost
	// at once; targetPollPause between the calls limits their rate.
	targetPollTimeout = 1000 * time.Millisecond
	targetPollPause   = 400 * time.Millisecond
	// memoryLimitShare is the share of the process memory that is set as the soft
	// memory limit of the Go runtime. The rest is left for stacks, kernel buffers
	// and garbage that is not collected yet.
	memoryLimitShare = 0.7
	// Limits of connections from callers. maxHeaderBytes is in bytes.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
)

// Daemon is the edge daemon of one host.
type Daemon struct {
	settings     Settings
	layout       Layout
	directStore  storage.Rows // store client that never relays calls through other hosts
	store        *relay.Rows  // store client that relays calls through other hosts if the store cannot be reached directly
	logs         *telemetry.Logs
	log          *log.Logger
	client       *upstream.Client
	targets      *balance.Set
	budgets      *escrow.Keeper
	suspects     *forward.CrashTracker
	handler      *forward.Handler
	callerServer *http.Server
	metrics      *metrics
	gossip       *gossip.Node // nil if no peer address is configured

	configuration          atomic.Pointer[routing.Configuration]
	configurationAppliedAt atomic.Pointer[time.Time] // time at which configuration was applied; nil before the first one
	targetsLoaded          atomic.Bool
	shuttingDown           atomic.Bool

	configurationRowVersion uint64                    // version of the configuration row read last; used only by the configuration watcher
	decodedTargets          map[string]balance.Target // registered targets by row key; used only by the target watcher
}

// New returns a daemon that is not started yet. The settings must have passed
// Check. Logs are written to out.
func New(ctx context.Context, s Settings, l Layout, headers dialect.Dialect, store storage.Rows, out io.Writer) (*Daemon, error) {
	logs, err := telemetry.NewLogs("info", telemetry.JSONFormat, out)
	if err != nil {
		return nil, err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	d := &Daemon{
		settings: s, layout: l, directStore: store, logs: logs, log: logs.Logger("edge"),
		client: upstream.New(), targets: balance.NewSet(), suspects: forward.NewCrashTracker(), metrics: newMetrics(),
		decodedTargets: make(map[string]balance.Target),
	}
	d.client.OnDial = d.metrics.connectionOpened
	d.store = relay.New(store, func() []string { return d.budgets.PeerAddrs() }, logs.Logger("relay"))
	d.budgets = escrow.NewKeeper(ctx, escrow.Options{
		Rows: d.store, AccountTable: l.BudgetTable, UsageTable: l.UsageTable, Host: s.Host, Incarnation: newIncarnation(), Addr: s.PeerListen, Hosts: d.targets.HostCount, Announce: d.announceShortage, Ask: d.requestShareChange, Log: logs.Logger("budget"),
	})
	d.handler = forward.New(forward.Options{
		Dialect: headers, Configuration: d.configuration.Load, Targets: d.targets, Client: d.client, Budgets: d.budgets, CrashTracker: d.suspects,
		ShuttingDown: d.shuttingDown.Load, RetryRatio: s.RetryRatio, RetryReserve: s.RetryReserve, RetryWindow: s.RetryWindow,
		Observer: d.metrics, Log: logs.Logger("forward"),
	})
	d.callerServer = &http.Server{
		Handler: d.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return d, nil
}

// Run serves requests until ctx ends, then shuts down within the grace period.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 3)
	if err := d.startPeerListeners(background, failed); err != nil {
		return err
	}
	if err := d.serve(failed); err != nil {
		return err
	}
	d.budgets.Start()
	go d.client.Run(background)
	go d.watchConfiguration(background)
	go d.watchTargets(background)
	go d.updateHosts(background)
	d.log.Info().Str("host", d.settings.Host).Str("callers", d.settings.CallerListen).Str("store", d.settings.StoreAddress).Msg("Daemon started.")
	select {
	case err := <-failed:
		return fmt.Errorf("listener failed: %w", err)
	case <-ctx.Done():
		return d.shutdown()
	}
}

func (d *Daemon) serve(failed chan<- error) error {
	if err := listen(d.settings.CallerListen, d.callerServer, failed); err != nil {
		return err
	}
	if err := listen(d.settings.ReadyListen, &http.Server{Handler: d.readinessHandler(), ReadHeaderTimeout: headerTimeout}, failed); err != nil {
		return err
	}
	if d.settings.AdminListen == "" {
		return nil
	}
	return listen(d.settings.AdminListen, &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: headerTimeout}, failed)
}

func listen(address string, server *http.Server, failed chan<- error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("start listener: %w", err)
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}

// Ready reports whether the daemon can serve requests: the configuration, the
// targets and the budgets are loaded and it is not shutting down.
func (d *Daemon) Ready() bool {
	return !d.shuttingDown.Load() && d.configuration.Load() != nil && d.targetsLoaded.Load() && d.budgets.Loaded()
}

func newIncarnation() string {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic("edge: read random bytes for the incarnation: " + err.Error())
	}
	return hex.EncodeToString(random[:])
}
