package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/bandwidth"
	"github.com/peppertrail/peppertrail/pkg/callermem"
	"github.com/peppertrail/peppertrail/pkg/crashes"
	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/forward"
	"github.com/peppertrail/peppertrail/pkg/gossip"
	"github.com/peppertrail/peppertrail/pkg/ingress"
	"github.com/peppertrail/peppertrail/pkg/nexthop"
	"github.com/peppertrail/peppertrail/pkg/ratelimit"
	"github.com/peppertrail/peppertrail/pkg/relay"
	"github.com/peppertrail/peppertrail/pkg/routing"
	"github.com/peppertrail/peppertrail/pkg/sharedread"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/storage/era"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

const (
	// configurationPollTimeout is how long a feed call waits for a new
	// configuration. It also bounds the time until a dead connection to the store
	// is detected.
	configurationPollTimeout = 1500 * time.Millisecond
	// configurationPollPause is the time between the end of a feed call for the
	// configuration and the next call.
	configurationPollPause = 20 * time.Millisecond
	// configurationMaxAge is the time without a confirmation of the configuration after
	// which a newer one may be in force. It leaves some time for the reply of a call that
	// has waited for configurationPollTimeout, and is below the 2 s that operators allow.
	configurationMaxAge = configurationPollTimeout + 300*time.Millisecond
	// targetPollTimeout is how long a feed call waits for changes of target
	// registrations.
	targetPollTimeout = 1000 * time.Millisecond
	// targetPollPause is the time between the end of a feed call for target
	// registrations and the next call. It limits the rate of the calls, which return
	// almost at once because targets renew their registrations continuously.
	targetPollPause = 400 * time.Millisecond
	// memoryLimitShare is the share of the process memory that is set as the soft
	// memory limit of the Go runtime. The rest is left for stacks, kernel buffers
	// and garbage that is not collected yet.
	memoryLimitShare = 0.7
	// bufferedBodiesShare is the share of the process memory for buffered response
	// bodies. A body that grows takes up to three times its size until garbage is
	// collected.
	bufferedBodiesShare = 0.125
	// headerTimeout limits the time to read the header of a request on any listener, for
	// callers by default.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection from a caller is closed.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes limits the header of a request from a caller by default, in bytes.
	maxHeaderBytes = 64 << 10
)

// Daemon is the edge daemon of one host.
type Daemon struct {
	settings     Settings
	layout       Layout
	directStore  storage.Rows // store client that never relays calls through other hosts
	relay        *relay.Rows  // store client that relays calls through other hosts if the store cannot be reached directly
	store        *era.Rows    // relay with a check of the era of each answer
	logs         *telemetry.Logs
	log          *log.Logger
	client       *upstream.Client
	meter        *bandwidth.Meter // bytes from and to callers, targets and hosts that requests are forwarded to
	targets      *balance.Set
	budgets      *escrow.Manager
	crashes      *crashes.Tracker
	rateLimits   *ratelimit.Limiter
	intake       *bandwidth.Intake     // bytes that callers are expected to send; nil if the rate of the link is not known
	roundTrips   *bandwidth.RoundTrips // of connections to targets and hosts that requests are forwarded to
	linkRate     atomic.Uint64         // rate of the link that the host works with, in Mbit/s, as bits of a float64; 0: not known
	overload     bandwidth.Overload    // whether the link was saturated lately
	linkUse      atomic.Uint64         // share of the link's rate in use, as bits of a float64
	handler      *forward.Handler
	hosts        *nexthop.Selector // hosts that requests are forwarded to which this host cannot serve
	hostClient   *upstream.Client  // sends these requests
	callerServer *http.Server
	callers      *ingress.Listener  // listener of callerServer; set by serve
	hostServer   *http.Server       // serves requests of other hosts
	hostRequests *ingress.Listener  // listener of hostServer; nil if there is none
	callerMemory *callermem.Account // memory held for callers
	metrics      *metrics
	gossip       *gossip.Node // nil if no peer address is configured

	configuration          atomic.Pointer[routing.Configuration]
	configurationAppliedAt atomic.Pointer[time.Time] // time at which configuration was applied; nil before the first one
	configurationReadAt    atomic.Pointer[time.Time] // time at which the store last confirmed configuration; nil before the first one
	configurationLag       configurationLag
	targetsLoaded          atomic.Bool
	targetRegistry         *targetRegistry
	targetRows             *sharedread.Rows             // target registrations, from the store or from other hosts
	hostRows               *sharedread.Rows             // rows by which hosts announce themselves, from the store or from other hosts
	peersAsked             atomic.Bool                  // other hosts were asked what they know of targets
	retryHostCount         atomic.Int64                 // hosts among which the retry reserve is divided; 0: unknown
	stop                   atomic.Pointer[forward.Stop] // nil until the daemon shuts down

	configurationMu         sync.Mutex                      // held while a configuration is applied
	configurationRowVersion storage.Version                 // version of the configuration row read last; guarded by configurationMu
	configurationInForce    atomic.Pointer[storage.PartRow] // row of configuration
	newerNamed              chan struct{}                   // another host has named a newer configuration; capacity 1
}

// New returns a daemon that is not started yet. The settings must have passed
// CheckAndSetDefaults. Background work on budgets ends with ctx, which must
// therefore not end before Run has returned. Logs are written to out.
func New(ctx context.Context, s Settings, l Layout, headers dialect.Dialect, store storage.Rows, out io.Writer) (*Daemon, error) {
	logs, err := telemetry.NewLogs("info", telemetry.JSONFormat, out)
	if err != nil {
		return nil, err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	d := &Daemon{
		settings: s, layout: l, logs: logs, log: logs.Logger("edge"),
		client: upstream.New(), hosts: nexthop.NewSelector(), hostClient: upstream.New(), targets: balance.NewSet(), crashes: crashes.New(), metrics: newMetrics(),
		newerNamed: make(chan struct{}, 1),
	}
	d.crashes.Log = logs.Logger("crashes")
	d.metrics.observeBlocked(func() int { return len(d.crashes.BlockedParts(time.Now())) }, func() int { return len(d.crashes.BlockedRequests(time.Now())) })
	d.meter, d.intake = &bandwidth.Meter{}, bandwidth.NewIntake(s.LinkMbps)
	d.client.Meter, d.hostClient.Meter = d.meter, d.meter
	d.roundTrips = &bandwidth.RoundTrips{}
	d.client.RoundTrips, d.hostClient.RoundTrips = d.roundTrips, d.roundTrips
	d.client.OnDial = d.metrics.countDial
	d.metrics.observeConfigurationLag(d.configurationBehind)
	d.metrics.observeLink(func() float64 { return math.Float64frombits(d.linkUse.Load()) }, func() float64 { return math.Float64frombits(d.linkRate.Load()) })
	d.metrics.observeLostPaths(func() int { return len(d.targets.LostPaths(time.Now())) })
	d.directStore = newMeteredRows(store, d.metrics.registry)
	d.relay = relay.New(d.directStore, func() []string { return d.budgets.PeerAddrs() }, logs.Logger("relay"))
	d.store = era.New(d.relay, logs.Logger("store"))
	d.store.Changed = func(storage.Version, storage.Version) { d.metrics.storeReturns.Inc() }
	d.shareHostReads()
	d.budgets = escrow.NewManager(ctx, escrow.Options{
		Rows: d.store, AccountTable: l.AccountTable, UsageTable: l.UsageTable, HostTable: l.HostTable, HostRows: d.hostRows, Host: s.Host, Incarnation: newIncarnation(), Addr: s.PeerListen, RequestAddr: s.RequestListen, FailureDomain: s.FailureDomain, LinkMbps: s.LinkMbps, Hosts: d.targets.HostCount, WritesPerSecond: s.StoreWritesPerSecond,
		AnnounceShortage: d.announceShortage, RequestShare: d.requestShareChange, RequestReservation: d.requestReservation, SendSettlements: d.sendSettlements,
		TellReport: d.tellReport, Recall: d.recallAccount, Notes: d.blockNotes, ReceiveNotes: d.receiveBlockNotes, CountWrittenOff: d.metrics.countWrittenOff, Log: logs.Logger("budget"),
	})
	d.shareTargetReads()
	d.rateLimits = ratelimit.New(ratelimit.Options{Self: s.PeerListen, Ask: d.requestPermit, CountPermit: d.metrics.countPermit, Log: logs.Logger("ratelimit")})
	d.metrics.observeLimitedTargets(func() int { return len(d.limitedTargets()) })
	d.callerMemory = newCallerMemory(s.callerMemory(), d.metrics, logs.Logger("ingress"))
	d.handler = forward.New(forward.Options{
		Dialect: headers, Configuration: d.configuration.Load, ConfigurationConfirmed: d.configurationConfirmed, ConfigurationOutdated: d.configurationOutdated,
		Hosts: d.hosts, HostClient: d.hostClient, Admission: nexthop.NewAdmission(nexthop.Limit(s.Cores, s.LinkMbps)), Targets: d.targets, RateLimits: d.rateLimits, Client: d.client, Budgets: d.budgets, Crashes: d.crashes,
		TooManyConnections: tooManyConnections, Overloaded: d.overloaded, ConfigurationLate: d.configurationLate, CallerClosed: callerClosed, CallerMemory: d.callerMemory, BytesWait: bytesWait, CallerSocket: callerSocket, MinReadRate: s.Clients.MinReadRate, ReadWindow: s.Clients.ReadWindow, Stop: d.stop.Load, RetryRatio: s.RetryRatio, RetryReserve: d.retryReserve, RetryWindow: s.RetryWindow, StartedAt: time.Now(),
		BufferedBytes: int64(bufferedBodiesShare * float64(s.MemoryBytes)), Observer: d.metrics, Log: logs.Logger("forward"),
	})
	d.callerServer = &http.Server{
		Handler: announceBodies(d.handler), ReadHeaderTimeout: s.Clients.HeadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: s.Clients.HeadBytes, ConnContext: ingress.ConnContext,
	}
	d.hostServer = &http.Server{
		Handler: http.HandlerFunc(d.handler.ServeHost), ReadHeaderTimeout: s.Clients.HeadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: s.Clients.HeadBytes, ConnContext: ingress.ConnContext,
	}
	return d, nil
}

// Run serves requests until ctx ends, then shuts down within the grace period.
func (d *Daemon) Run(ctx context.Context) error {
	// The components must run until the shutdown after the end of ctx is complete.
	componentsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 3)
	if err := d.startPeerListeners(componentsCtx, failed); err != nil {
		return err
	}
	if err := d.serve(failed); err != nil {
		return err
	}
	d.budgets.Start()
	go d.client.Run(componentsCtx)
	go d.hostClient.Run(componentsCtx)
	go d.watchConfiguration(componentsCtx)
	go d.watchTargets(componentsCtx)
	go d.updateHosts(componentsCtx)
	go d.learnFromPeers(componentsCtx)
	go d.announceBlocked(componentsCtx)
	go d.probeLostPaths(componentsCtx)
	go d.repeatConfigurationVersion(componentsCtx)
	go d.fetchConfigurations(componentsCtx)
	go d.limitConnections(componentsCtx)
	d.log.Info().Str("host", d.settings.Host).Str("callers", d.settings.CallerListen).Str("store", d.settings.StoreAddress).Msg("Daemon started.")
	select {
	case err := <-failed:
		return fmt.Errorf("listener: %w", err)
	case <-ctx.Done():
		return d.shutdown()
	}
}

func (d *Daemon) serve(failed chan<- error) error {
	var err error
	if d.callers, err = ingress.Listen(d.settings.CallerListen, d.settings.callerLimit(), d.logs.Logger("ingress")); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	d.callers.CountMemory(d.callerMemory)
	d.callers.CountBytes(d.meter)
	d.callers.LimitIntake(d.intake)
	d.callers.CountClosed(d.metrics.countClosedConnection)
	d.callerServer.ConnState = d.callers.ConnState
	go serveHTTP(d.callers, d.callerServer, failed)
	if err := d.serveHosts(failed); err != nil {
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

// serveHosts serves requests of other hosts.
func (d *Daemon) serveHosts(failed chan<- error) error {
	if d.settings.RequestListen == "" {
		return nil
	}
	var err error
	if d.hostRequests, err = ingress.Listen(d.settings.RequestListen, 0, d.logs.Logger("ingress")); err != nil {
		return fmt.Errorf("listen for requests of other hosts: %w", err)
	}
	d.hostRequests.CountMemory(d.callerMemory)
	d.hostRequests.CountBytes(d.meter)
	d.hostServer.ConnState = d.hostRequests.ConnState
	go serveHTTP(d.hostRequests, d.hostServer, failed)
	return nil
}

func listen(address string, server *http.Server, failed chan<- error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go serveHTTP(l, server, failed)
	return nil
}

func serveHTTP(l net.Listener, server *http.Server, failed chan<- error) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// tooManyConnections reports whether the request arrived on a connection beyond the limit.
func tooManyConnections(r *http.Request) bool {
	c := ingress.FromContext(r.Context())
	return c != nil && c.OverLimit()
}

// callerClosed reports whether the caller of a request has closed its connection.
func callerClosed(ctx context.Context) bool {
	c := ingress.FromContext(ctx)
	return c != nil && c.PeerClosed()
}

// Ready reports whether the daemon can serve requests: the configuration, the
// targets and the budgets are loaded, another host was asked what it knows of the targets,
// there is a path to the targets, the configuration is not outdated, and it is not shutting down.
func (d *Daemon) Ready() bool {
	return d.stop.Load() == nil && d.configuration.Load() != nil && d.targetsLoaded.Load() && d.budgets.Loaded() && d.peersAsked.Load() && !d.targets.AllPathsLost(time.Now()) && !d.configurationOutdated()
}

// newIncarnation returns a random id that distinguishes this process from earlier
// and later processes of the host.
func newIncarnation() string {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic("edge: read random bytes for the incarnation: " + err.Error())
	}
	return hex.EncodeToString(random[:])
}
