package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/load/process"
	"github.com/peppertrail/peppertrail/pkg/load/proxy"
	"github.com/peppertrail/peppertrail/pkg/load/role"
)

// Fleet is a running deployment.
type Fleet struct {
	options         Options
	http            *http.Client
	platform        *platformClient
	platformProcess *process.Process // platform stand-in
	engines         []*engine
	daemons         []*host
	proxies         []*proxy.Proxy
	partitioned     atomic.Bool
	loopbackIP      string // loopback IP address on which the daemons listen
	admin           *admin.Client
	operator        access.Signer
	apiKeys         []string // API key of each customer
}

// engine is one target: an engine stand-in in its own process.
type engine struct {
	process *process.Process
	addr    string
}

// host is a daemon with its addresses, which stay the same over a restart.
type host struct {
	mu                 sync.Mutex
	process            *process.Process
	starts             int // number of starts; part of the name of the log file
	callerAddr         string
	adminAddr          string
	peerAddr           string
	advertisedPeerAddr string // address that other daemons use; a proxy if the fleet can be partitioned
	platformURL        string // base URL at which this daemon reaches the platform
}

// callTimeout bounds one HTTP call of the load tool.
const callTimeout = 5 * time.Second

// Start starts a fleet and waits until every daemon is ready. If that fails, it
// ends all processes that it started.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o, http: &http.Client{Timeout: callTimeout}, loopbackIP: loopbackAddress()}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	return f, nil
}

// loopbackAddress returns a random address of 127.0.0.0/8. Outgoing connections
// use 127.0.0.1, so none of them can take a port on which a daemon will listen.
func loopbackAddress() string {
	const lowest, count = 1, 253
	part := func() byte { return byte(lowest + rand.IntN(count)) }
	return net.IPv4(127, part(), part(), part()).String()
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	for i := range f.options.Engines {
		if err := f.startEngine(ctx, i); err != nil {
			return err
		}
	}
	if err := f.generateKeys(); err != nil {
		return err
	}
	for range f.options.Daemons {
		h, err := f.newHost()
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, h)
	}
	if err := f.startProxies(); err != nil {
		return err
	}
	for i := range f.daemons {
		if err := f.startDaemon(i); err != nil {
			return err
		}
	}
	if err := f.awaitHealthy(ctx); err != nil {
		return err
	}
	if err := f.installBundle(ctx); err != nil {
		return err
	}
	if err := f.createBudgets(ctx); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	p, err := process.Start(f.options.Dir, "platform", role.Command, role.Platform)
	if err != nil {
		return err
	}
	f.platformProcess = p
	addr, err := p.Address()
	if err != nil {
		return err
	}
	f.platform = newPlatformClient("http://"+addr, f.http)
	return f.platform.setFaults(ctx, f.faults(false))
}

func (f *Fleet) startEngine(ctx context.Context, i int) error {
	name := "engine" + strconv.Itoa(i)
	p, err := process.Start(f.options.Dir, name, role.Command, role.Engine, strconv.FormatFloat(f.options.TokenMS, 'g', -1, 64))
	if err != nil {
		return err
	}
	e := &engine{process: p}
	f.engines = append(f.engines, e)
	if e.addr, err = p.Address(); err != nil {
		return err
	}
	return f.platform.addTarget(ctx, name, e.addr)
}

// newHost chooses free ports for a daemon. The daemon keeps them over a restart,
// as a replaced host keeps its addresses.
func (f *Fleet) newHost() (*host, error) {
	h := &host{platformURL: f.platform.baseURL}
	for _, addr := range []*string{&h.callerAddr, &h.adminAddr, &h.peerAddr} {
		l, err := net.Listen("tcp", f.loopbackIP+":0")
		if err != nil {
			return nil, fmt.Errorf("choose a port: %w", err)
		}
		// The sockets stay open until all three ports are chosen, so that the ports differ.
		defer l.Close()
		*addr = l.Addr().String()
	}
	h.advertisedPeerAddr = h.peerAddr
	return h, nil
}

// startDaemon starts or restarts a daemon.
func (f *Fleet) startDaemon(i int) error {
	h := f.daemons[i]
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	name := fmt.Sprintf("host%d", i)
	args := []string{
		role.Command, role.Daemon, string(f.options.Policy), strconv.Itoa(i),
		"--host=" + name, "--region=morbihan", fmt.Sprintf("--failure-domain=place%d", i%3),
		"--platform=" + h.platformURL, "--listen=" + h.callerAddr, "--admin-listen=" + h.adminAddr, "--peer-listen=" + h.peerAddr,
		"--advertise-peer=" + h.advertisedPeerAddr, "--bootstrap-operator=" + operatorName + "=" + access.PublicKeyText(f.operator.Key),
	}
	p, err := process.Start(f.options.Dir, fmt.Sprintf("%s-%d", name, h.starts), args...)
	if err != nil {
		return err
	}
	h.process = p
	return nil
}

// pid returns the process id of the daemon, 0 before its first start.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.PID()
}

// Kill ends a daemon with SIGKILL.
func (f *Fleet) Kill(i int) {
	h := f.daemons[i]
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.Kill()
}

// Restart starts a killed daemon again.
func (f *Fleet) Restart(i int) error { return f.startDaemon(i) }

// stopTimeout bounds the graceful stop of a daemon.
const stopTimeout = 10 * time.Second

// StopDaemons stops all daemons gracefully, which closes their grants.
func (f *Fleet) StopDaemons() error {
	errs := make([]error, len(f.daemons))
	var wait sync.WaitGroup
	for i, h := range f.daemons {
		wait.Go(func() { errs[i] = h.process.Stop(stopTimeout) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// Close ends every process and proxy.
func (f *Fleet) Close() {
	for _, h := range f.daemons {
		if h.process != nil {
			h.process.Kill()
		}
	}
	for _, e := range f.engines {
		e.process.Kill()
	}
	if f.platformProcess != nil {
		f.platformProcess.Kill()
	}
	for _, p := range f.proxies {
		p.Close()
	}
	f.http.CloseIdleConnections()
}

// CallerURL returns the base URL at which daemon i serves callers.
func (f *Fleet) CallerURL(i int) string { return "http://" + f.daemons[i].callerAddr }

// EngineURL returns the base URL of engine i.
func (f *Fleet) EngineURL(i int) string { return "http://" + f.engines[i].addr }

// APIKey returns the API key of a customer.
func (f *Fleet) APIKey(customer int) string { return f.apiKeys[customer] }
