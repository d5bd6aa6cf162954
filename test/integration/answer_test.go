package integration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/test/harness"
)

const (
	answerDaemons     = 3
	answerEngines     = 3
	answerGroups      = 16 // groups of callers that use the same key at the same time
	answerDuration    = 15 * time.Second
	answerTokens      = 2_000_000 // tokens of each budget
	answerMinComplete = 200       // complete answers; with fewer the test would prove nothing
	// answerTimeout is longer than three attempts with the idle timeout of 3 s, so
	// that the daemon can tell a caller that its answer is incomplete.
	answerTimeout = 15 * time.Second
)

// groupCustomers are the customers of the callers in a group, one per caller. The first two
// callers send the same request, so that one attaches to the stream of the other. The third
// is another customer that uses the same key by coincidence.
var groupCustomers = []string{"regie", "regie", "lanester"}

// Guards against an answer that reaches the wrong caller, has missing or repeated
// parts, or ends without reporting that it is incomplete. Meanwhile callers attach to
// streams, and streams are delayed, interrupted and resumed.
func TestAnswerReachesOnlyItsCaller(t *testing.T) {
	seed := harness.Seed(t)
	f := harness.Start(t, harness.Options{
		Daemons:    answerDaemons,
		Engines:    answerEngines,
		EngineArgs: []string{"--token-ms", "8"},
		Customers: []harness.Customer{
			{ID: "regie", Budget: "regie-main", Tokens: answerTokens, CoverSeconds: 5, MinTokens: 20_000, MaxShare: 0.2},
			{ID: "lanester", Budget: "lanester-main", Tokens: answerTokens, CoverSeconds: 5, MinTokens: 20_000, MaxShare: 0.2},
		},
	})
	log := newTrafficLog()
	stop := make(chan struct{})
	var groups sync.WaitGroup
	for i := range answerGroups {
		r := harness.Rand(seed, uint64(i)+1)
		groups.Go(func() { groupTraffic(f, log, r, i, stop) })
	}
	plan := planFaults(harness.Rand(seed, 0), planSettings{
		kinds: []faultKind{
			resetTarget, resetTarget, resetOnTargetReply, delayTarget, delayTarget, dropTargetReplies,
			halfOpenTarget, cutTarget, cutPeer, slowTable, loseTableReplies,
		},
		daemons: answerDaemons, targets: answerEngines, duration: answerDuration,
		meanInterval: 400 * time.Millisecond, minDuration: 100 * time.Millisecond, maxDuration: 2 * time.Second,
	})
	faultInjector{t: t, fleet: f, targets: f.Engines}.run(plan)
	close(stop)
	groups.Wait()
	t.Logf("answers: %v", log.countOutcomes())
	for _, a := range log.allAnswers() {
		assert.Check(t, checkAnswer(a))
	}
	assert.Assert(t, log.countOutcomes()["complete"] >= answerMinComplete)
}

// groupTraffic sends rounds of requests until stop is closed. In each round all
// callers of the group use the same key.
func groupTraffic(f *harness.Fleet, log *trafficLog, r *rand.Rand, group int, stop <-chan struct{}) {
	callers := make([]*harness.Caller, len(groupCustomers))
	for i := range callers {
		callers[i] = f.NewCaller()
	}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		var round sync.WaitGroup
		for i, customer := range groupCustomers {
			s := sendAttempt{
				daemon:  f.Daemons[r.IntN(len(f.Daemons))],
				delay:   time.Duration(r.IntN(100)) * time.Millisecond,
				timeout: answerTimeout,
				request: harness.Request{
					Customer:     customer,
					Key:          fmt.Sprintf("order-%d-%d", group, n),
					Prompt:       fmt.Sprintf("allergens of order %d of group %d for %s", n, group, customer),
					MaxTokens:    32,
					NonStreaming: r.IntN(4) == 0 && i == 2, // the first two callers send identical bodies
				},
			}
			if i == 0 && r.Float64() < abandonShare {
				s.timeout = abandonAfter
			}
			round.Go(func() { s.run(callers[i], log) })
		}
		round.Wait()
	}
}

// sendAttempt describes one send attempt of a request.
type sendAttempt struct {
	daemon  *harness.Daemon
	delay   time.Duration
	timeout time.Duration // time after which the caller disconnects
	request harness.Request
}

func (s sendAttempt) run(c *harness.Caller, log *trafficLog) {
	time.Sleep(s.delay)
	log.recordRequest(s.request)
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	log.recordAnswer(c.Send(ctx, s.daemon, s.request))
}

// checkAnswer compares an answer with the completion text of its own request.
func checkAnswer(a harness.Answer) error {
	name := fmt.Sprintf("%s %s through %s, stream %s", a.Request.Customer, a.Request.Key, a.Daemon, a.Stream)
	want := a.Request.Text(a.Stream)
	switch {
	case a.Complete && a.Text != want:
		return fmt.Errorf("%s: got %q, want %q", name, a.Text, want)
	case a.Complete && (a.Usage == nil || a.Usage.CompletionTokens != int(a.Request.MaxTokens)):
		return fmt.Errorf("%s: usage is missing or differs from the requested tokens: %+v", name, a.Usage)
	case !strings.HasPrefix(want, a.Text):
		return fmt.Errorf("%s: got %q, which is not a prefix of %q", name, a.Text, want)
	case a.Complete:
		return nil
	}
	return checkIncomplete(name, a)
}

// checkIncomplete requires that an incomplete answer ends with a valid refusal,
// unless the caller disconnected.
func checkIncomplete(name string, a harness.Answer) error {
	switch {
	case a.Refused() && (!a.Verdict.Valid() || !a.Reason.Valid()):
		return fmt.Errorf("%s: refused with verdict %q and reason %q", name, a.Verdict, a.Reason)
	case a.Refused() && a.Text != "" && a.Verdict == "not_run":
		return fmt.Errorf("%s: refused as not run after the caller received %q", name, a.Text)
	case !a.Refused() && !errors.Is(a.Err, context.DeadlineExceeded):
		return fmt.Errorf("%s: ended without a refusal after the caller received %q: %v", name, a.Text, a.Err)
	}
	return nil
}
