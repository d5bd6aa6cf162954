package integration

import (
	"errors"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/test/harness"
)

// checkBills compares the bill lines with the answers that callers received and the
// requests that engines ran.
func checkBills(l ledger, answers []harness.Answer, log *trafficLog, records []engine.Record) error {
	return errors.Join(checkAnswersBilled(l, answers), checkBilledRequestsRan(l, log, records), checkRunTokensSettled(l, log, records))
}

// checkAnswersBilled requires a bill line for each request with a complete answer. The
// tokens of the line must equal the usage of an answer that a caller received.
func checkAnswersBilled(l ledger, answers []harness.Answer) error {
	usages := make(map[string][]int64)
	for _, a := range answers {
		if a.Complete && a.Usage != nil {
			key := budget.LineKey(a.Request.Customer, a.Request.Key)
			usages[key] = append(usages[key], int64(a.Usage.TotalTokens))
		}
	}
	var errs []error
	for key, received := range usages {
		line, ok := l.lines[key]
		if !ok {
			errs = append(errs, fmt.Errorf("%s was answered but has no bill line", key))
			continue
		}
		if !contains(received, line.Tokens) {
			errs = append(errs, fmt.Errorf("%s: bill line %+v matches none of the received usages %v", key, line, received))
		}
	}
	return errors.Join(errs...)
}

func contains(all []int64, n int64) bool {
	for _, v := range all {
		if v == n {
			return true
		}
	}
	return false
}

// checkBilledRequestsRan requires that each bill line belongs to a request that an engine ran.
func checkBilledRequestsRan(l ledger, log *trafficLog, records []engine.Record) error {
	ran := make(map[string]bool)
	for _, r := range records {
		request, ok := log.requestByDigest(r.Digest)
		if !ok {
			return fmt.Errorf("stream %s ran a prompt that no caller sent", r.Stream)
		}
		if r.Started != nil {
			ran[budget.LineKey(request.Customer, request.Key)] = true
		}
	}
	var errs []error
	for key, line := range l.lines {
		if !ran[key] {
			errs = append(errs, fmt.Errorf("%s never ran but has the bill line %+v", key, line))
		}
	}
	return errors.Join(errs...)
}

// checkRunTokensSettled requires that each budget settled at least the tokens that engines
// ran for its customer.
func checkRunTokensSettled(l ledger, log *trafficLog, records []engine.Record) error {
	ran := make(map[string]int64)
	for _, r := range records {
		if request, ok := log.requestByDigest(r.Digest); ok {
			ran[request.Customer] += harness.ConsumedTokens(r)
		}
	}
	var errs []error
	for _, record := range l.budgets {
		if ran[record.Customer] > record.Settled {
			errs = append(errs, fmt.Errorf("budget %s: engines ran %d tokens, but only %d are settled", record.ID, ran[record.Customer], record.Settled))
		}
	}
	return errors.Join(errs...)
}
