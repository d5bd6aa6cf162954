package integration

import (
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/verdict"
	"github.com/peppertrail/peppertrail/test/harness"
)

// onceOracle checks non-idempotent items against the journals of the targets.
type onceOracle struct {
	items      []*onceItem
	dispatched map[string][]harness.Dispatch // dispatches by digest
}

func newOnceOracle(items []*onceItem, dispatches []harness.Dispatch) *onceOracle {
	o := &onceOracle{items: items, dispatched: make(map[string][]harness.Dispatch)}
	for _, d := range dispatches {
		o.dispatched[d.Digest] = append(o.dispatched[d.Digest], d)
	}
	return o
}

// check returns an error for each failed check of an item.
func (o *onceOracle) check() []error {
	var wrong []error
	for _, item := range o.items {
		dispatches := o.dispatched[item.digest()]
		for _, check := range []func(*onceItem, []harness.Dispatch) error{checkDispatchedOnce, checkAnswers, checkRefusedNeverRan, checkFinalOutcome} {
			if err := check(item, dispatches); err != nil {
				wrong = append(wrong, fmt.Errorf("%s: %w; dispatches %+v, send attempts %+v", item.key(), err, dispatches, item.history()))
			}
		}
	}
	return wrong
}

// checkDispatchedOnce requires at most one dispatch of an item over all targets.
func checkDispatchedOnce(_ *onceItem, dispatches []harness.Dispatch) error {
	if len(dispatches) > 1 {
		return fmt.Errorf("dispatched %d times", len(dispatches))
	}
	return nil
}

// checkAnswers compares complete answers, and refusals with the verdict "ran", with
// the journals.
func checkAnswers(item *onceItem, dispatches []harness.Dispatch) error {
	for _, s := range item.history() {
		switch {
		case s.complete && !s.correct:
			return fmt.Errorf("wrong answer through %s", s.daemon)
		case s.complete && (len(dispatches) == 0 || dispatches[0].Stream != s.stream):
			return fmt.Errorf("answer of stream %s through %s, but the journals have no such stream", s.stream, s.daemon)
		case s.verdict == verdict.Ran && (len(dispatches) == 0 || !dispatches[0].Completed):
			return fmt.Errorf("refused through %s with the verdict \"ran\", but no target completed it", s.daemon)
		}
	}
	return nil
}

// checkRefusedNeverRan requires that no dispatch precedes the first send attempt that
// did not end with the verdict "not run". A later "not run" applies to its own attempt
// only, because a daemon that is cut off cannot know of the other attempts.
func checkRefusedNeverRan(item *onceItem, dispatches []harness.Dispatch) error {
	for _, s := range item.history() {
		if s.verdict != verdict.NotRun {
			for _, d := range dispatches {
				if d.Accepted.Before(s.sent) {
					return fmt.Errorf("dispatched to %s at %v although every send attempt until then was refused as not run", d.Target, d.Accepted)
				}
			}
			return nil
		}
	}
	if len(dispatches) > 0 {
		return fmt.Errorf("dispatched to %s although every send attempt was refused as not run", dispatches[0].Target)
	}
	return nil
}

// checkFinalOutcome requires that an item has a complete answer or that its last
// attempt got a correct refusal. As the faults are over by then, "not run" must be
// true of all attempts under the key.
func checkFinalOutcome(item *onceItem, dispatches []harness.Dispatch) error {
	history := item.history()
	last := history[len(history)-1]
	for _, s := range history {
		if s.complete {
			return nil
		}
	}
	switch {
	case !last.answered():
		return fmt.Errorf("no answer and no refusal in the last attempt: %w", last.err)
	case last.verdict == verdict.NotRun && len(dispatches) > 0:
		return fmt.Errorf("refused as not run in the last attempt, but %s ran it", dispatches[0].Target)
	}
	return nil
}

// countOutcomes counts the items by final outcome, the send attempts and the
// dispatched items.
func (o *onceOracle) countOutcomes() map[string]int {
	counts := make(map[string]int)
	for _, item := range o.items {
		counts["send attempts"] += len(item.history())
		counts[finalOutcome(item)]++
		if len(o.dispatched[item.digest()]) > 0 {
			counts["dispatched"]++
		}
	}
	return counts
}

// finalOutcome returns "complete" if any attempt got the complete answer, and
// otherwise the verdict and reason of the last attempt.
func finalOutcome(item *onceItem) string {
	history := item.history()
	for _, s := range history {
		if s.complete {
			return "complete"
		}
	}
	last := history[len(history)-1]
	return fmt.Sprintf("%s %s", last.verdict, last.reason)
}
