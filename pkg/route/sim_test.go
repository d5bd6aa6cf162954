package route

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/target"
	"gotest.tools/v3/assert"
)

// sim runs requests against targets with queues, caches and lagging reports.
// The views are trackers, each with reports and dispatch counts of its own.
type sim struct {
	simClock
	config  simConfig
	picks   []Policy // one per view
	rand    *rand.Rand
	zipf    *rand.Zipf
	targets []*simTarget
	views   []*target.Tracker
	result  simResult
}

// simulate runs one workload under one policy with a fixed seed. Requests come
// at the same times, with the same prefixes and lengths, under all policies.
func simulate(config simConfig, newPolicy func(view int) Policy) *simResult {
	source := rand.New(rand.NewPCG(3, config.seed))
	s := &sim{
		simClock: simClock{now: now},
		config:   config,
		rand:     source,
		zipf:     rand.NewZipf(source, simZipfSkew, 1, simPrefixes-1),
	}
	s.setUp(newPolicy)
	s.after(0, s.arrive)
	s.after(simWarmup, s.sample)
	s.runUntil(now.Add(simDuration))
	return &s.result
}

// setUp starts targets, views and reports.
func (s *sim) setUp(newPolicy func(view int) Policy) {
	var members []storage.Member
	for i, capacity := range s.config.capacities {
		t := &simTarget{id: fmt.Sprintf("chef-%02d", i), capacity: capacity}
		s.targets = append(s.targets, t)
		members = append(members, storage.Member{ID: t.id, Kind: storage.TargetMember, Service: chef, State: storage.MemberLive})
	}
	for i := range s.config.views {
		s.picks = append(s.picks, newPolicy(i))
		view := target.NewTracker(target.DefaultLimits())
		view.Apply(members, map[string]target.ServiceInfo{chef: {Kind: target.PromText}}, s.now)
		s.views = append(s.views, view)
		for _, t := range s.targets {
			s.deliver(view, t, 0, 0)
			s.after(s.jitter(), func() { s.report(view, t) })
		}
	}
}

// jitter returns a random part of the report interval.
func (s *sim) jitter() time.Duration {
	return time.Duration(s.rand.Float64() * float64(simInterval))
}

// report sends the present load of a target to a view, where it arrives after the lag.
func (s *sim) report(view *target.Tracker, t *simTarget) {
	running, waiting := t.running, len(t.queue)
	s.after(simLag, func() { s.deliver(view, t, running, waiting) })
	s.after(simInterval, func() { s.report(view, t) })
}

// deliver hands a report to a view.
func (s *sim) deliver(view *target.Tracker, t *simTarget, running, waiting int) {
	view.Report(t.id, target.Snapshot{
		Running: running, Waiting: waiting, Capacity: t.capacity, ReportedAt: s.now,
	}, s.now)
}

// arrive offers one request and schedules the next.
func (s *sim) arrive() {
	s.after(time.Duration(s.rand.ExpFloat64()/s.config.rate*float64(time.Second)), s.arrive)
	r := &simRequest{
		arrived: s.now,
		prefix:  s.prefix(),
		view:    s.rand.IntN(len(s.views)),
		decode:  time.Duration(s.rand.ExpFloat64() * float64(simDecode)),
	}
	priority := simPriority
	if s.config.priorities {
		priority = s.rand.IntN(Priorities)
	}
	view := s.views[r.view]
	picked, refusal := s.picks[r.view].Pick(Request{Service: chef, Prefix: r.prefix, Priority: priority}, view.View(), s.now)
	if s.measured() {
		s.result.offered[priority]++
	}
	if refusal != nil {
		if s.measured() {
			s.result.refused[priority]++
		}
		return
	}
	view.Started(picked.ID, s.now)
	r.target = s.target(picked.ID)
	r.target.queue = append(r.target.queue, r)
	s.serve(r.target)
}

// prefix draws the prompt prefix of a request.
func (s *sim) prefix() string {
	if s.rand.Float64() < s.config.popular {
		return "popular"
	}
	return strconv.FormatUint(s.zipf.Uint64(), 10)
}

// target returns a target by id.
func (s *sim) target(id string) *simTarget {
	for _, t := range s.targets {
		if t.id == id {
			return t
		}
	}
	panic("unknown target " + id)
}

// serve starts queued requests while places are free.
func (s *sim) serve(t *simTarget) {
	for len(t.queue) > 0 && t.running < t.capacity {
		r := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		s.start(r)
	}
}

// start runs one request at its target.
func (s *sim) start(r *simRequest) {
	prefill := simPrefill
	hit := r.target.touch(r.prefix)
	if hit {
		prefill = simCached
	}
	if s.measured() {
		s.result.waits = append(s.result.waits, s.now.Sub(r.arrived)+prefill)
	}
	if s.measured() && hit {
		s.result.hits++
	}
	s.after(prefill+r.decode, func() { s.end(r) })
}

// end frees the place of a request.
func (s *sim) end(r *simRequest) {
	r.target.running--
	s.views[r.view].Ended(r.target.id, s.now)
	s.serve(r.target)
}

// sample measures the spread of load.
func (s *sim) sample() {
	s.after(simSample, s.sample)
	s.result.spreads = append(s.result.spreads, variation(s.targets))
}

// measured reports whether the warm-up is over.
func (s *sim) measured() bool { return s.now.Sub(now) >= simWarmup }

// simPicker returns a picker with a random sequence of its own.
func simPicker(view int) Policy {
	settings := DefaultSettings()
	settings.Rand = rand.New(rand.NewPCG(5, uint64(view)))
	return NewPicker(settings)
}

// Guards against a policy that is worse than taking targets in turn. The
// figures are printed with -v; only wide margins are checked, since narrow
// ones would fail with each change of the policy.
func TestSimulation(t *testing.T) {
	for _, config := range simConfigs() {
		t.Run(fmt.Sprintf("%s/%d", config.desc, config.views), func(t *testing.T) {
			t.Parallel()
			compare(t, config)
		})
	}
}

// compare runs one workload under all policies.
func compare(t *testing.T, config simConfig) {
	picker := simulate(config, simPicker)
	turns := simulate(config, func(int) Policy { return &RoundRobin{} })
	least := simulate(config, func(int) Policy { return LeastReported{} })
	t.Log(picker.line(config, "picker"))
	t.Log(turns.line(config, "roundrobin"))
	t.Log(least.line(config, "leastreported"))
	assert.Assert(t, picker.hitShare() > 1.2*turns.hitShare())
	if config.desc == "uneven" || config.desc == "overload" {
		assert.Assert(t, picker.quantile(0.95) < turns.quantile(0.95)/2)
	}
	if config.priorities {
		assert.Assert(t, picker.refusedShare(7, 9) < picker.refusedShare(0, 2)/2)
	}
}

// BenchmarkSimulation reports the picker's figures as means over simSeeds
// seeds; the figures of a single seed vary by about 10%. Run it with
// -benchtime 1x.
func BenchmarkSimulation(b *testing.B) {
	for _, config := range simConfigs() {
		b.Run(fmt.Sprintf("%s/%d", config.desc, config.views), func(b *testing.B) {
			for b.Loop() {
				reportMeans(b, config)
			}
		})
	}
}

// reportMeans runs one workload with several seeds.
func reportMeans(b *testing.B, config simConfig) {
	var p50, p95, hits, spread, refused float64
	for seed := range uint64(simSeeds) {
		config.seed = seed
		r := simulate(config, simPicker)
		p50 += float64(r.quantile(0.5).Milliseconds()) / simSeeds
		p95 += float64(r.quantile(0.95).Milliseconds()) / simSeeds
		hits += r.hitShare() / simSeeds
		spread += r.spread() / simSeeds
		refused += r.refusedShare(0, Priorities-1) / simSeeds
	}
	b.ReportMetric(p50, "p50_ms")
	b.ReportMetric(p95, "p95_ms")
	b.ReportMetric(hits, "hits")
	b.ReportMetric(spread, "spread")
	b.ReportMetric(refused, "refused")
	b.ReportMetric(0, "ns/op")
}
