package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The users' bound: in any window, a target gets at most allowedFactor times what its limit
// allows, and allowedSlack requests more, from graceTime after it has named the limit.
const (
	graceTime     = 3 * time.Second
	window        = 4 * time.Second
	allowedFactor = 1.5
	allowedSlack  = 5
)

const (
	simulatedTime   = 24 * time.Second
	killTime        = 8 * time.Second  // a ninth of the hosts dies
	forgetTime      = 15 * time.Second // from then until the others learn it
	joinTime        = 12 * time.Second // as many new hosts join
	maxViewLag      = 2 * time.Second  // until a host learns of one that joins
	hopTime         = 2 * time.Millisecond
	announceFanout  = 5 // as edge.rateLimitFanout
	limitPerSecond  = 4.0
	demandPerSecond = 8.0 // for each target
	tolerableLoss   = 0.05
)

// simHost is a host of a simulated fleet.
type simHost struct {
	addr    string
	alive   bool
	limiter *Limiter
	count   map[Target]float64 // of the policies without permits: tokens or counted requests
	at      map[Target]time.Time
	free    map[Target]time.Time // until when a target is not tried
}

// fleet is a simulation in virtual time.
type fleet struct {
	random   *rand.Rand
	start    time.Time
	hosts    []*simHost
	byAddr   map[string]*simHost
	targets  []Target
	arrivals map[Target][]time.Time
	running  map[Target]float64 // open requests of each target, for load reports
	messages int
	before   view // the hosts at the start
}

// policy decides whether a host may send a request to a target. It stands for Acquire.
type policy func(f *fleet, h *simHost, t Target) (wait time.Duration)

// fewIssuers is the policy of this package.
func fewIssuers(f *fleet, h *simHost, t Target) time.Duration {
	wait, _ := h.limiter.Acquire(context.Background(), t, false)
	return wait
}

// equalShares divides a limit by the number of hosts.
func equalShares(f *fleet, h *simHost, t Target) time.Duration {
	now := time.Now()
	rate := limitPerSecond / float64(len(f.hosts))
	if at, known := h.at[t]; known {
		h.count[t] = min(1, h.count[t]+rate*now.Sub(at).Seconds())
	}
	h.at[t] = now
	if h.count[t] < 1 {
		return min(seconds((1-h.count[t])/rate), maxWait)
	}
	h.count[t]--
	return 0
}

// loadEstimate sends while the open requests that the target has last reported to this host
// are those of its rate.
func loadEstimate(f *fleet, h *simHost, t Target) time.Duration {
	if h.count[t] > limitPerSecond*serviceTime.Seconds() && time.Since(h.at[t]) < time.Second {
		return 100 * time.Millisecond
	}
	report := f.running[t]
	at := time.Now()
	time.AfterFunc(serviceTime, func() { h.count[t], h.at[t] = report, at })
	return 0
}

// serviceTime is how long a target runs a request.
const serviceTime = 500 * time.Millisecond

// oneIssuer is the policy of this package with a single issuer for each target, which the
// hosts replace once they know that it has died.
func oneIssuer(f *fleet, h *simHost, t Target) time.Duration {
	issuers := h.limiter.views.issuersOf(t)
	if len(issuers) == 0 {
		return maxWait // the host does not know the others yet
	}
	issuer := f.byAddr[issuers[0]]
	if issuer != h {
		f.messages += 2
		if !issuer.alive {
			return unreachableTime
		}
	}
	now := time.Now()
	rate := limitPerSecond
	if at, known := issuer.at[t]; known {
		issuer.count[t] = min(1+rate*burstTime.Seconds(), issuer.count[t]+rate*now.Sub(at).Seconds())
	}
	issuer.at[t] = now
	if issuer.count[t] < 1 {
		return min(seconds((1-issuer.count[t])/rate*(1+rand.Float64())), maxWait)
	}
	issuer.count[t]--
	return 0
}

func newFleet(hosts, targets int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, uint64(hosts))), start: time.Now(), byAddr: make(map[string]*simHost), arrivals: make(map[Target][]time.Time), running: make(map[Target]float64)}
	for i := range targets {
		f.targets = append(f.targets, Target{ID: fmt.Sprint("t", i)})
	}
	for _, addr := range addresses(hosts) {
		f.addHost(addr)
	}
	for _, h := range f.hosts {
		h.limiter.SetHosts(f.addrs(), f.start.Add(-time.Minute))
	}
	return f
}

func (f *fleet) addHost(addr string) *simHost {
	h := &simHost{addr: addr, alive: true, count: make(map[Target]float64), at: make(map[Target]time.Time), free: make(map[Target]time.Time)}
	h.limiter = New(Options{Self: addr, Log: discardLog, Ask: f.ask, Announce: func(l Limit) { f.announce(h, l) }})
	f.hosts = append(f.hosts, h)
	f.byAddr[addr] = h
	return h
}

func (f *fleet) addrs() []string {
	var all []string
	for _, h := range f.hosts {
		all = append(all, h.addr)
	}
	return all
}

func (f *fleet) ask(ctx context.Context, issuer string, r PermitRequest) (PermitReply, error) {
	f.messages += 2
	time.Sleep(hopTime)
	h := f.byAddr[issuer]
	if !h.alive {
		return PermitReply{}, errors.New("connection refused")
	}
	reply := h.limiter.Issue(r, time.Now())
	time.Sleep(hopTime)
	return reply, nil
}

// announce sends a datagram to some hosts; one in twenty is lost.
func (f *fleet) announce(from *simHost, l Limit) {
	for range announceFanout {
		to := f.hosts[f.random.IntN(len(f.hosts))]
		f.messages++
		if f.random.Float64() < 0.95 && to.alive && to != from {
			time.AfterFunc(hopTime, func() { to.limiter.Receive(l, time.Now()) })
		}
	}
}

// changeHosts kills a ninth of the hosts, adds as many, and tells each host with a lag of its
// own.
func (f *fleet) changeHosts() {
	dying := f.hosts[:max(1, len(f.hosts)/9)]
	f.before.hosts = f.addrs()
	time.AfterFunc(killTime, func() {
		for _, h := range dying {
			h.alive = false
		}
	})
	time.AfterFunc(joinTime, func() {
		for i := range dying {
			joined := f.addHost(fmt.Sprintf("10.0.1.%03d:7000", i))
			for _, l := range f.hosts[len(dying)].limiter.Limits() {
				joined.limiter.Receive(l, time.Now())
			}
		}
		f.tellHosts(f.addrs())
	})
	time.AfterFunc(killTime+forgetTime, func() { f.tellHosts(f.addrs()[len(dying):]) })
}

func (f *fleet) tellHosts(addrs []string) {
	for _, h := range f.hosts {
		time.AfterFunc(time.Duration(f.random.Int64N(int64(maxViewLag))), func() { h.limiter.SetHosts(addrs, time.Now()) })
	}
}

// pickHost returns a host that runs. A third of the hosts gets three in five requests.
func (f *fleet) pickHost() *simHost {
	for {
		h := f.hosts[int(float64(len(f.hosts))*math.Pow(f.random.Float64(), 2))]
		if h.alive {
			return h
		}
	}
}

// submit gives a request to a host, which tries up to four targets.
func (f *fleet) submit(may policy) {
	h := f.pickHost()
	order := f.random.Perm(len(f.targets))
	go func() {
		tried := 0
		for _, i := range order {
			t := f.targets[i]
			if time.Now().Before(h.free[t]) {
				continue
			}
			if tried++; tried > 4 {
				return
			}
			wait := may(f, h, t)
			if wait == 0 {
				f.arrive(h, t)
				return
			}
			h.free[t] = time.Now().Add(wait)
		}
	}()
}

func (f *fleet) arrive(h *simHost, t Target) {
	sentAt := time.Now()
	f.arrivals[t] = append(f.arrivals[t], sentAt)
	f.running[t]++
	time.AfterFunc(serviceTime, func() {
		f.running[t]--
		h.limiter.Observe(t, limitPerSecond, true, sentAt, time.Now())
	})
}

// summary is what the targets got.
type summary struct {
	worst    float64 // most arrivals in a window, as a part of what the users allow
	over     int     // arrivals beyond what the users allow, in all targets
	lost     float64 // part of the requests within the limits that did not arrive
	deadPart float64 // part of these that hosts would have issued while they were dead and the others did not know it
	messages float64 // a second and host
}

func (f *fleet) summarize() summary {
	var s summary
	served := 0
	allowed := allowedFactor*limitPerSecond*window.Seconds() + allowedSlack
	for _, t := range f.targets {
		times := slices.DeleteFunc(slices.Clone(f.arrivals[t]), func(at time.Time) bool { return at.Before(f.start.Add(graceTime)) })
		served += len(times)
		first, most := 0, 0
		for i, end := range times {
			for end.Sub(times[first]) > window {
				first++
			}
			most = max(most, i-first+1)
		}
		s.worst = max(s.worst, float64(most)/allowed)
		s.over += max(0, int(math.Ceil(float64(most)-allowed)))
	}
	within := limitPerSecond * float64(len(f.targets)) * (simulatedTime - graceTime).Seconds()
	s.lost = max(0, 1-float64(served)/within)
	s.deadPart = f.deadIssuers() / float64(maxIssuers*len(f.targets)) * forgetTime.Seconds() / (simulatedTime - graceTime).Seconds()
	s.messages = float64(f.messages) / simulatedTime.Seconds() / float64(len(f.hosts))
	return s
}

// deadIssuers returns how often the hosts that die are among the issuers of a target.
func (f *fleet) deadIssuers() float64 {
	count := 0.0
	for _, t := range f.targets {
		for _, issuer := range f.before.issuersOf(t) {
			if !f.byAddr[issuer].alive {
				count++
			}
		}
	}
	return count
}

func simulateFleet(t *testing.T, hosts, targets int, seed uint64, may policy) (s summary) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := newFleet(hosts, targets, seed)
		f.changeHosts()
		rate := demandPerSecond * float64(targets)
		for time.Since(f.start) < simulatedTime {
			time.Sleep(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
			f.submit(may)
		}
		time.Sleep(maxViewLag + forgetTime)
		s = f.summarize()
	})
	return s
}

// Guards against a fleet that sends a target more than the users allow, or much less than it takes, while hosts die and join: with twice the demand that the targets take.
func TestFleetKeepsLimitsWhileHostsChange(t *testing.T) {
	for seed := range uint64(5) {
		checkFewIssuers(t, 9, 13, seed)
	}
	checkFewIssuers(t, 81, 50, 1)
	checkFewIssuers(t, 295, 40, 1)
	for _, p := range []struct {
		name string
		may  policy
	}{{"equal shares", equalShares}, {"load estimate", loadEstimate}, {"one issuer", oneIssuer}} {
		logSummary(t, 9, p.name, simulateFleet(t, 9, 13, 1, p.may))
		logSummary(t, 81, p.name, simulateFleet(t, 81, 50, 1, p.may))
		logSummary(t, 295, p.name, simulateFleet(t, 295, 40, 1, p.may))
	}
}

func checkFewIssuers(t *testing.T, hosts, targets int, seed uint64) {
	t.Helper()
	s := simulateFleet(t, hosts, targets, seed, fewIssuers)
	logSummary(t, hosts, "few issuers", s)
	assert.Check(t, s.over == 0, "%d arrivals over the limits, seed %d", s.over, seed)
	assert.Check(t, s.lost <= s.deadPart+tolerableLoss, "%.3f of the service lost, %.3f by dead hosts, seed %d", s.lost, s.deadPart, seed)
}

func logSummary(t *testing.T, hosts int, name string, s summary) {
	t.Helper()
	t.Logf("%3d hosts, %-13s: most arrivals %.2f of the allowed, %4d over, %.3f of the service lost, %.1f messages a second and host", hosts, name, s.worst, s.over, s.lost, s.messages)
}
