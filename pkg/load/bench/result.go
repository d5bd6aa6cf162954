package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/load/baseline"
	"github.com/peppertrail/peppertrail/pkg/load/caller"
	"github.com/peppertrail/peppertrail/pkg/load/fleet"
	"github.com/peppertrail/peppertrail/pkg/load/oracle"
	"github.com/peppertrail/peppertrail/pkg/standin/engine"
)

// Result is the result of one workload with one policy.
type Result struct {
	Workload              string
	Policy                baseline.Policy
	Overspent             int64         // tokens
	FalseRefusals         float64       // false refusals as a share of false refusals and completed requests, 0 to 1
	Stranded              int64         // tokens debited from budgets but not used by a stream
	CommitsPerRequest     float64       // table commits per completed request
	RowsPerRequest        float64       // table rows written per completed request
	FirstTokenAddedP99    time.Duration // 99th percentile of the latency that daemons add to the first token
	Requests              int           // distinct requests sent
	Completed             int
	Lost                  int              // requests of which every attempt ended with a broken connection
	FirstToken            [3]time.Duration // quantiles of the time to the first token through the fleet
	DirectFirstToken      [3]time.Duration // quantiles of the time to the first token directly at the engines
	Refusals              map[string]int   // all refusals by reason
	FalseRefusalsByReason map[string]int   // refusals although the budget had enough free tokens
	TrueRefusals          int              // refusals that are not false
}

// quantiles are the reported quantiles of the time to the first token.
var quantiles = [3]float64{0.5, 0.95, 0.99}

// String returns the line of the report.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "bench %s %s overspent_tokens=%d false_refusals=%.5f stranded_tokens=%d table_writes_per_request=%.4f first_token_added_p99_ms=%.2f",
		r.Workload, r.Policy, r.Overspent, r.FalseRefusals, r.Stranded, r.CommitsPerRequest, ms(r.FirstTokenAddedP99))
	fmt.Fprintf(&b, " table_rows_per_request=%.2f requests=%d completed=%d refused_true=%d lost=%d", r.RowsPerRequest, r.Requests, r.Completed, r.TrueRefusals, r.Lost)
	for i, q := range []string{"p50", "p95", "p99"} {
		fmt.Fprintf(&b, " first_token_%s_ms=%.2f direct_%s_ms=%.2f", q, ms(r.FirstToken[i]), q, ms(r.DirectFirstToken[i]))
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(&b, " refused_%s=%d false_%s=%d", reason, r.Refusals[reason], reason, r.FalseRefusalsByReason[reason])
	}
	return b.String()
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// evaluate computes the result of a run.
func (r *run) evaluate(observed observations) Result {
	spent := r.replayJournal(observed.journal)
	result := Result{
		Workload: r.workload.name, Policy: r.policy, Overspent: r.oracle.Overspent(), Stranded: observed.debited - spent,
		FirstTokenAddedP99: observed.added.Quantile(quantiles[2]), DirectFirstToken: quantilesOf(r.directFirstTokens),
		Refusals: make(map[string]int), FalseRefusalsByReason: make(map[string]int),
	}
	r.countOutcomes(&result)
	if err := r.writeAttempts(); err != nil {
		r.logf("attempts.ndjson is incomplete, the evaluation continues: %v", err)
	}
	served := float64(max(result.Completed, 1))
	result.CommitsPerRequest = float64(observed.after.Commits-observed.before.Commits) / served
	result.RowsPerRequest = float64(observed.after.RowsWritten-observed.before.RowsWritten) / served
	return result
}

// replayJournal adds the streams of the journal to the oracle and returns the
// tokens that they used.
func (r *run) replayJournal(journal []engine.Record) int64 {
	byDigest := make(map[string]attempt, len(r.attempts))
	for _, a := range r.attempts {
		byDigest[digestOf(a.request.Prompt, a.request.AnswerTokens)] = a
	}
	for _, record := range journal {
		a, ok := byDigest[record.Digest]
		if !ok {
			continue // sent directly to the engine
		}
		r.oracle.AddStream(oracle.Stream{Budget: fleet.BudgetID(a.request.Customer), Bound: a.bound, Record: record})
	}
	r.oracle.Finish()
	spent := int64(0)
	for c := range r.budgets {
		spent += r.oracle.Spent(fleet.BudgetID(c))
	}
	return spent
}

func digestOf(prompt string, answer int) string {
	p, err := engine.ParsePrompt(caller.Body(prompt, answer))
	if err != nil {
		panic("bench: parse planned request body: " + err.Error())
	}
	return p.Digest
}

// countOutcomes counts the attempts by outcome. A refusal is false if the budget
// had enough free tokens for the request's bound both when the request was sent
// and when it was refused.
func (r *run) countOutcomes(result *Result) {
	falseRefusals := 0
	answered := make(map[string]bool)
	keys := make(map[string]bool)
	var firstTokens []time.Duration
	for _, a := range r.attempts {
		keys[a.request.IdempotencyKey] = true
		switch a.result.Outcome {
		case caller.Completed:
			result.Completed++
			answered[a.request.IdempotencyKey] = true
			firstTokens = append(firstTokens, a.result.FirstToken)
		case caller.Refused:
			answered[a.request.IdempotencyKey] = true
			result.Refusals[a.result.Reason]++
			id := fleet.BudgetID(a.request.Customer)
			if r.oracle.CouldReserve(id, a.result.Sent, a.bound) && r.oracle.CouldReserve(id, a.result.Ended, a.bound) {
				falseRefusals++
				result.FalseRefusalsByReason[a.result.Reason]++
				continue
			}
			result.TrueRefusals++
		}
	}
	result.Requests = len(keys)
	result.Lost = len(keys) - len(answered)
	result.FalseRefusals = float64(falseRefusals) / float64(max(falseRefusals+result.Completed, 1))
	result.FirstToken = quantilesOf(firstTokens)
}

func quantilesOf(values []time.Duration) [3]time.Duration {
	var out [3]time.Duration
	if len(values) == 0 {
		return out
	}
	slices.Sort(values)
	for i, q := range quantiles {
		out[i] = values[min(int(q*float64(len(values))), len(values)-1)]
	}
	return out
}
