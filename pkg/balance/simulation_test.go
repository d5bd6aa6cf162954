package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/enginemodel"
)

// The load of the users' larger site: requests per second, shared and own prompt
// tokens, output tokens, and the time within which the first token is on time.
var kitchenLoad = []struct {
	name      string
	perSecond float64
	shared    int64
	subjects  int
	own       float64
	spread    float64
	output    int
	aim       time.Duration
}{
	{"menu", 31.5, 5382, 268, 6610, 1.4, 380, 600 * time.Millisecond},
	{"allergen", 118, 198, 447, 628, 1.0, 288, 300 * time.Millisecond},
	{"ration", 85.3, 568, 484, 1800, 1.3, 27, 300 * time.Millisecond},
}

const (
	simulatedHosts   = 9
	simulatedEngines = 18
	simulatedTime    = 12 * time.Second
	warmUp           = 3 * time.Second
)

// picker is a policy under test.
type picker func(s *Set, r Request) (*Attempt, error)

// leastInFlight is the baseline without affinity and lanes.
func leastInFlight(s *Set, r Request) (*Attempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *state
	for _, t := range s.services[r.Service] {
		if best == nil || t.inFlight < best.inFlight {
			best = t
		}
	}
	return s.start(candidate{state: best}, r), nil
}

// affinityOnly is the baseline whose affinity is not bounded by load.
func affinityOnly(s *Set, r Request) (*Attempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best candidate
	for _, t := range s.services[r.Service] {
		if c := s.candidate(t, r); best.state == nil || c.rank > best.rank {
			best = c
		}
	}
	return s.start(best, r), nil
}

// flight is a request at an engine.
type flight struct {
	request *enginemodel.Request
	attempt *Attempt
	class   int
	at      time.Duration
}

// simulation plays the load before engines, with one set for each host.
type simulation struct {
	start   time.Time
	hosts   []*Set
	engines map[string]*enginemodel.Engine
	flights map[string][]*flight
	late    []int
	served  []int
	read    int64 // prompt tokens
	cached  int64
}

func simulate(seed uint64, told bool, pick picker) *simulation {
	s := &simulation{
		start: time.Now(), engines: make(map[string]*enginemodel.Engine), flights: make(map[string][]*flight),
		late: make([]int, len(kitchenLoad)), served: make([]int, len(kitchenLoad)),
	}
	var all []Target
	for i := range simulatedEngines {
		id := fmt.Sprintf("i-%d", i*7919)
		s.engines[id] = enginemodel.New(enginemodel.Kitchen())
		all = append(all, Target{ID: id, Service: chef, Addr: id, Slots: enginemodel.Kitchen().Slots})
	}
	for range simulatedHosts {
		set := NewSet()
		set.Apply(all)
		set.SetHosts(simulatedHosts)
		s.hosts = append(s.hosts, set)
	}
	now := time.Duration(0)
	for i, set := range s.hosts {
		if told {
			set.Announce = func(p Prompt) { s.tell(i, p, now) }
		}
	}
	random := rand.New(rand.NewPCG(seed, 7))
	for now < simulatedTime {
		now += time.Duration(random.ExpFloat64() / totalRate() * float64(time.Second))
		s.advance(now)
		s.arrive(now, random, pick)
	}
	s.advance(now + 5*time.Second)
	return s
}

func totalRate() float64 {
	total := 0.0
	for _, c := range kitchenLoad {
		total += c.perSecond
	}
	return total
}

// tell passes a prompt on to the other hosts.
func (s *simulation) tell(from int, p Prompt, now time.Duration) {
	for i, set := range s.hosts {
		if i != from {
			set.Heard(fmt.Sprint(from), p, s.start.Add(now))
		}
	}
}

// advance runs all engines and tells the hosts what their requests have come to.
func (s *simulation) advance(now time.Duration) {
	for id, engine := range s.engines {
		engine.Advance(now)
		running, waiting := engine.Running()
		open := s.flights[id][:0]
		for _, f := range s.flights[id] {
			if f.request.First > 0 && !f.attempt.answered {
				f.attempt.Answered(s.start.Add(f.request.First), &Load{Running: running, Waiting: waiting, Slots: enginemodel.Kitchen().Slots})
				s.count(f)
			}
			if f.request.Finished > 0 {
				f.attempt.End(s.start.Add(f.request.Finished), Served)
				continue
			}
			open = append(open, f)
		}
		s.flights[id] = open
	}
}

func (s *simulation) count(f *flight) {
	if f.at < warmUp {
		return
	}
	s.served[f.class]++
	if f.request.First-f.at > kitchenLoad[f.class].aim {
		s.late[f.class]++
	}
	for _, p := range f.request.Parts {
		s.read += p.Tokens
	}
	s.cached += f.request.Cached
}

func (s *simulation) arrive(now time.Duration, random *rand.Rand, pick picker) {
	class, at := 0, random.Float64()*totalRate()
	for at > kitchenLoad[class].perSecond {
		at -= kitchenLoad[class].perSecond
		class++
	}
	c := kitchenLoad[class]
	sigma := math.Sqrt(math.Log(1 + c.spread*c.spread))
	own := int64(c.own * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
	own = min(max(own, 16), int64(8*c.own))
	parts := []Part{
		{ID: fmt.Sprint(c.name, random.IntN(c.subjects)), Tokens: c.shared},
		{ID: fmt.Sprint("own", now), Tokens: own},
	}
	request := Request{Service: chef, Parts: parts, PromptTokens: c.shared + own, OutputTokens: int64(c.output), Now: s.start.Add(now)}
	attempt, err := pick(s.hosts[random.IntN(simulatedHosts)], request)
	if err != nil {
		panic(err)
	}
	at2 := &enginemodel.Request{Output: c.output}
	for _, p := range parts {
		at2.Parts = append(at2.Parts, enginemodel.Part{ID: p.ID, Tokens: p.Tokens})
	}
	id := attempt.Target.ID
	s.engines[id].Submit(now, at2)
	s.flights[id] = append(s.flights[id], &flight{request: at2, attempt: attempt, class: class, at: now})
}

// lateShare returns the share of requests of a class without a first token in time.
func (s *simulation) lateShare(class int) float64 {
	return float64(s.late[class]) / float64(max(1, s.served[class]))
}

// Guards against a placing that is worse than the simple policies, and against
// first tokens that are late for more than 5 in 100 short requests, the users'
// bound. Of the long prompts some are late on an idle engine.
func TestPlacingAgainstBaselines(t *testing.T) {
	const seed = 11
	chosen := simulate(seed, true, (*Set).Pick)
	untold := simulate(seed, false, (*Set).Pick)
	least := simulate(seed, false, leastInFlight)
	affinity := simulate(seed, false, affinityOnly)
	for name, s := range map[string]*simulation{"chosen": chosen, "without word": untold, "least in flight": least, "affinity only": affinity} {
		t.Logf("%-16s late: menu %.3f, allergen %.3f, ration %.3f; found in memory %.3f", name,
			s.lateShare(0), s.lateShare(1), s.lateShare(2), float64(s.cached)/float64(s.read))
	}
	for class := 1; class < len(kitchenLoad); class++ {
		assert.Check(t, chosen.lateShare(class) <= 0.05, "%s", kitchenLoad[class].name)
		assert.Check(t, chosen.lateShare(class) < least.lateShare(class), "%s", kitchenLoad[class].name)
		assert.Check(t, chosen.lateShare(class) < affinity.lateShare(class), "%s", kitchenLoad[class].name)
	}
	assert.Check(t, chosen.lateShare(0) < least.lateShare(0))
	assert.Check(t, chosen.cached > least.cached)
}
