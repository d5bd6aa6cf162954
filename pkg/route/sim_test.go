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

// simulation runs requests against targets with queues, prompt caches and
// delayed reports. Each simulated daemon has a tracker with its own reports and
// dispatch counts.
type simulation struct {
	simClock
	config   simConfig
	policies []Policy // one per daemon
	rand     *rand.Rand
	zipf     *rand.Zipf
	targets  []*simTarget
	trackers []*target.Tracker // one per daemon
	result   simResult
}

// simulate runs one workload under one policy. With the same config.seed the
// requests have the same arrival times, prefixes and lengths under all policies.
func simulate(config simConfig, newPolicy func(daemon int) Policy) *simResult {
	source := rand.New(rand.NewPCG(3, config.seed))
	s := &simulation{
		simClock: simClock{now: now},
		config:   config,
		rand:     source,
		zipf:     rand.NewZipf(source, simZipfSkew, 1, simPrefixes-1),
	}
	s.setUp(newPolicy)
	s.schedule(0, s.arrive)
	s.schedule(simWarmup, s.sampleLoads)
	s.runUntil(now.Add(simDuration))
	return &s.result
}

// setUp creates the targets, creates the policy and the tracker of each daemon,
// and schedules the first reports.
func (s *simulation) setUp(newPolicy func(daemon int) Policy) {
	var members []storage.Member
	for i, slots := range s.config.slotCounts {
		t := &simTarget{id: fmt.Sprintf("chef-%02d", i), slots: slots}
		s.targets = append(s.targets, t)
		members = append(members, storage.Member{ID: t.id, Kind: storage.TargetMember, Service: chefService, State: storage.MemberLive})
	}
	for i := range s.config.daemons {
		s.policies = append(s.policies, newPolicy(i))
		tracker := target.NewTracker(target.DefaultLimits())
		tracker.Apply(members, map[string]target.ServiceInfo{chefService: {Kind: target.PromText}}, s.now)
		s.trackers = append(s.trackers, tracker)
		for _, t := range s.targets {
			s.deliver(tracker, t, 0, 0)
			s.schedule(s.randomOffset(), func() { s.report(tracker, t) })
		}
	}
}

// randomOffset returns a random part of the report interval.
func (s *simulation) randomOffset() time.Duration {
	return time.Duration(s.rand.Float64() * float64(simReportInterval))
}

// report sends the current load of a target to a tracker, where it arrives
// after simReportLag, and schedules the next report.
func (s *simulation) report(tracker *target.Tracker, t *simTarget) {
	running, waiting := t.running, len(t.queue)
	s.schedule(simReportLag, func() { s.deliver(tracker, t, running, waiting) })
	s.schedule(simReportInterval, func() { s.report(tracker, t) })
}

// deliver passes a report to a tracker.
func (s *simulation) deliver(tracker *target.Tracker, t *simTarget, running, waiting int) {
	tracker.Report(t.id, target.Snapshot{
		Running: running, Waiting: waiting, Capacity: t.slots, ReportedAt: s.now,
	}, s.now)
}

// arrive offers one request to the policy of a random daemon and schedules the
// next arrival.
func (s *simulation) arrive() {
	s.schedule(time.Duration(s.rand.ExpFloat64()/s.config.rate*float64(time.Second)), s.arrive)
	r := &simRequest{
		arrived: s.now,
		prefix:  s.prefix(),
		daemon:  s.rand.IntN(len(s.trackers)),
		decode:  time.Duration(s.rand.ExpFloat64() * float64(simMeanDecode)),
	}
	priority := simDefaultPriority
	if s.config.priorities {
		priority = s.rand.IntN(NumPriorities)
	}
	tracker := s.trackers[r.daemon]
	picked, refusal := s.policies[r.daemon].Pick(Request{Service: chefService, Prefix: r.prefix, Priority: priority}, tracker.View(), s.now)
	if s.warmedUp() {
		s.result.offered[priority]++
	}
	if refusal != nil {
		if s.warmedUp() {
			s.result.refused[priority]++
		}
		return
	}
	tracker.DispatchStarted(picked.ID, s.now)
	r.target = s.target(picked.ID)
	r.target.queue = append(r.target.queue, r)
	s.serve(r.target)
}

// prefix draws the prompt prefix of a request.
func (s *simulation) prefix() string {
	if s.rand.Float64() < s.config.popularShare {
		return "popular"
	}
	return strconv.FormatUint(s.zipf.Uint64(), 10)
}

// target returns the target with an id.
func (s *simulation) target(id string) *simTarget {
	for _, t := range s.targets {
		if t.id == id {
			return t
		}
	}
	panic("unknown target " + id)
}

// serve starts queued requests while slots are free.
func (s *simulation) serve(t *simTarget) {
	for len(t.queue) > 0 && t.running < t.slots {
		r := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		s.start(r)
	}
}

// start runs one request at its target.
func (s *simulation) start(r *simRequest) {
	prefill := simUncachedPrefill
	hit := r.target.touch(r.prefix)
	if hit {
		prefill = simCachedPrefill
	}
	if s.warmedUp() {
		s.result.firstTokenTimes = append(s.result.firstTokenTimes, s.now.Sub(r.arrived)+prefill)
	}
	if s.warmedUp() && hit {
		s.result.cacheHits++
	}
	s.schedule(prefill+r.decode, func() { s.end(r) })
}

// end frees the slot of a request.
func (s *simulation) end(r *simRequest) {
	r.target.running--
	s.trackers[r.daemon].DispatchEnded(r.target.id, s.now)
	s.serve(r.target)
}

// sampleLoads records how unevenly the targets are loaded.
func (s *simulation) sampleLoads() {
	s.schedule(simSampleInterval, s.sampleLoads)
	s.result.loadVariations = append(s.result.loadVariations, loadVariation(s.targets))
}

// warmedUp reports whether the warm-up, which starts at the package variable
// now, is over.
func (s *simulation) warmedUp() bool { return s.now.Sub(now) >= simWarmup }

// newSimPicker returns a picker with a random seed of its own for each daemon.
func newSimPicker(daemon int) Policy {
	settings := DefaultSettings()
	settings.Rand = rand.New(rand.NewPCG(5, uint64(daemon)))
	return NewPicker(settings)
}

// Guards against a policy that performs worse than round robin. The figures are
// printed with -v. Only wide margins are checked, since narrow ones would fail
// with every change of the policy.
func TestPickerOutperformsRoundRobin(t *testing.T) {
	for _, config := range simConfigs() {
		t.Run(fmt.Sprintf("%s/%d", config.desc, config.daemons), func(t *testing.T) {
			t.Parallel()
			comparePolicies(t, config)
		})
	}
}

// comparePolicies runs one workload under all policies.
func comparePolicies(t *testing.T, config simConfig) {
	picker := simulate(config, newSimPicker)
	roundRobin := simulate(config, func(int) Policy { return &RoundRobin{} })
	leastReported := simulate(config, func(int) Policy { return LeastReportedLoad{} })
	t.Log(picker.summary(config, "picker"))
	t.Log(roundRobin.summary(config, "roundrobin"))
	t.Log(leastReported.summary(config, "leastreported"))
	assert.Assert(t, picker.cacheHitShare() > 1.2*roundRobin.cacheHitShare())
	if config.desc == "uneven" || config.desc == "overload" {
		assert.Assert(t, picker.firstTokenQuantile(0.95) < roundRobin.firstTokenQuantile(0.95)/2)
	}
	if config.priorities {
		assert.Assert(t, picker.refusedShare(7, 9) < picker.refusedShare(0, 2)/2)
	}
}

// BenchmarkSimulation reports the picker's figures as means over simSeeds
// seeds, since the figures of a single seed vary by about 10%. Run it with
// -benchtime 1x.
func BenchmarkSimulation(b *testing.B) {
	for _, config := range simConfigs() {
		b.Run(fmt.Sprintf("%s/%d", config.desc, config.daemons), func(b *testing.B) {
			for b.Loop() {
				reportMeans(b, config)
			}
		})
	}
}

// reportMeans runs one workload with several seeds and reports the mean
// figures.
func reportMeans(b *testing.B, config simConfig) {
	var p50, p95, hits, variation, refused float64
	for seed := range uint64(simSeeds) {
		config.seed = seed
		r := simulate(config, newSimPicker)
		p50 += float64(r.firstTokenQuantile(0.5).Milliseconds()) / simSeeds
		p95 += float64(r.firstTokenQuantile(0.95).Milliseconds()) / simSeeds
		hits += r.cacheHitShare() / simSeeds
		variation += r.meanLoadVariation() / simSeeds
		refused += r.refusedShare(0, NumPriorities-1) / simSeeds
	}
	b.ReportMetric(p50, "p50_ms")
	b.ReportMetric(p95, "p95_ms")
	b.ReportMetric(hits, "hits")
	b.ReportMetric(variation, "spread")
	b.ReportMetric(refused, "refused")
	b.ReportMetric(0, "ns/op")
}
