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
	// configurationWait is how long a feed call waits for a configuration. It
	// bounds the time until a connection that has gone silent is noticed.
	configurationWait  = 1500 * time.Millisecond
	configurationPause = 20 * time.Millisecond
	// Targets renew their registrations all the time, so that a pause between the
	// calls bounds their number.
	targetWait  = 1000 * time.Millisecond
	targetPause = 400 * time.Millisecond
	// memoryShare is the part of the memory that the collector may use. The rest
	// is for stacks, buffers of the kernel and what is not yet collected.
	memoryShare = 0.7
	// Limits of callers' connections.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	headerBytes   = 64 << 10
)

// Daemon is one edge daemon.
type Daemon struct {
	settings Settings
	layout   Layout
	direct   storage.Rows // the store, from this host only
	rows     *relay.Rows  // the store, by way of other hosts if need be
	logs     *telemetry.Logs
	log      *log.Logger
	client   *upstream.Client
	targets  *balance.Set
	budgets  *escrow.Manager
	suspects *forward.Suspects
	handler  *forward.Handler
	callers  *http.Server
	metrics  *metrics
	gossip   *gossip.Node // nil: other hosts are not told

	configuration atomic.Pointer[routing.Configuration]
	adoptedAt     atomic.Pointer[time.Time] // of configuration
	targetsKnown  atomic.Bool
	leaving       atomic.Bool

	configRow uint64                    // version of the row that was read last; owned by the configuration's watcher
	decoded   map[string]balance.Target // owned by the targets' watcher
}

// New returns a daemon with checked settings. Logs go to out.
func New(ctx context.Context, s Settings, l Layout, headers dialect.Dialect, rows storage.Rows, out io.Writer) (*Daemon, error) {
	logs, err := telemetry.NewLogs("info", telemetry.JSONFormat, out)
	if err != nil {
		return nil, err
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	}
	d := &Daemon{
		settings: s, layout: l, direct: rows, logs: logs, log: logs.Logger("edge"),
		client: upstream.New(), targets: balance.NewSet(), suspects: forward.NewSuspects(), metrics: newMetrics(),
		decoded: make(map[string]balance.Target),
	}
	d.client.Opened = d.metrics.connectionOpened
	d.rows = relay.New(rows, func() []string { return d.budgets.PeerAddrs() }, logs.Logger("relay"))
	d.budgets = escrow.NewManager(ctx, escrow.Options{
		Rows: d.rows, AccountTable: l.BudgetTable, UsageTable: l.UsageTable, Host: s.Host, Incarnation: newIncarnation(), Addr: s.PeerListen, Hosts: d.targets.Hosts, AnnounceShortage: d.announceLack, RequestShare: d.askShare, Log: logs.Logger("budget"),
	})
	d.handler = forward.New(forward.Options{
		Dialect: headers, Configuration: d.configuration.Load, Targets: d.targets, Client: d.client, Budgets: d.budgets, Suspects: d.suspects,
		Leaving: d.leaving.Load, RetryRatio: s.RetryRatio, RetryReserve: s.RetryReserve, RetryWindow: s.RetryWindow,
		Observer: d.metrics, Log: logs.Logger("forward"),
	})
	d.callers = &http.Server{
		Handler: d.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
	return d, nil
}

// Run serves until ctx ends, then stops within the grace period.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 3)
	if err := d.startPeers(background, failed); err != nil {
		return err
	}
	if err := d.serve(failed); err != nil {
		return err
	}
	d.budgets.Start()
	go d.client.Run(background)
	go d.watchConfiguration(background)
	go d.watchTargets(background)
	go d.watchHosts(background)
	d.log.Info().Str("host", d.settings.Host).Str("callers", d.settings.Listen).Str("store", d.settings.Store).Msg("Daemon started.")
	select {
	case err := <-failed:
		return fmt.Errorf("listener: %w", err)
	case <-ctx.Done():
		return d.stop()
	}
}

func (d *Daemon) serve(failed chan<- error) error {
	if err := listen(d.settings.Listen, d.callers, failed); err != nil {
		return err
	}
	if err := listen(d.settings.ReadyListen, &http.Server{Handler: d.readiness(), ReadHeaderTimeout: headerTimeout}, failed); err != nil {
		return err
	}
	if d.settings.AdminListen == "" {
		return nil
	}
	return listen(d.settings.AdminListen, &http.Server{Handler: d.admin(), ReadHeaderTimeout: headerTimeout}, failed)
}

func listen(address string, server *http.Server, failed chan<- error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}

// Ready reports whether the daemon can serve requests.
func (d *Daemon) Ready() bool {
	return !d.leaving.Load() && d.configuration.Load() != nil && d.targetsKnown.Load() && d.budgets.Loaded()
}

func newIncarnation() string {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic("edge: no random numbers: " + err.Error())
	}
	return hex.EncodeToString(random[:])
}
