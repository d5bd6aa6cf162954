package integration

import (
	"errors"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/test/harness"
)

// checkBills compares the bill lines with what callers received and engines ran.
func checkBills(l ledger, answers []harness.Answer, log *trafficLog, records []engine.Record) error {
	return errors.Join(checkAnswered(l, answers), checkLinesRan(l, log, records), checkBudgetsPaid(l, log, records))
}

// checkAnswered requires one line for each request that was answered whole, with
// the usage of an answer that its caller received.
func checkAnswered(l ledger, answers []harness.Answer) error {
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
			errs = append(errs, fmt.Errorf("%s was answered and has no line", key))
			continue
		}
		if !contains(received, line.Tokens) {
			errs = append(errs, fmt.Errorf("%s: line %+v, received usages %v", key, line, received))
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

// checkRan requires that each line belongs to a request that an engine ran.
func checkLinesRan(l ledger, log *trafficLog, records []engine.Record) error {
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
			errs = append(errs, fmt.Errorf("%s never ran and has the line %+v", key, line))
		}
	}
	return errors.Join(errs...)
}

// checkPaid requires that each budget paid for all tokens that engines ran.
func checkBudgetsPaid(l ledger, log *trafficLog, records []engine.Record) error {
	ran := make(map[string]int64)
	for _, r := range records {
		if request, ok := log.requestByDigest(r.Digest); ok {
			ran[request.Customer] += harness.ConsumedTokens(r)
		}
	}
	var errs []error
	for _, record := range l.budgets {
		if ran[record.Customer] > record.Settled {
			errs = append(errs, fmt.Errorf("budget %s: engines ran %d tokens, settled are %d", record.ID, ran[record.Customer], record.Settled))
		}
	}
	return errors.Join(errs...)
}
