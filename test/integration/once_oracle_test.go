package integration

import (
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/verdict"
	"github.com/peppertrail/peppertrail/test/harness"
)

// onceOracle judges non-idempotent items by the journals of the targets.
type onceOracle struct {
	items      []*onceItem
	dispatched map[string][]harness.Dispatch // by digest
}

func newOnceOracle(items []*onceItem, dispatches []harness.Dispatch) *onceOracle {
	o := &onceOracle{items: items, dispatched: make(map[string][]harness.Dispatch)}
	for _, d := range dispatches {
		o.dispatched[d.Digest] = append(o.dispatched[d.Digest], d)
	}
	return o
}

// check returns what is wrong with any item.
func (o *onceOracle) check() []error {
	var wrong []error
	for _, item := range o.items {
		dispatches := o.dispatched[item.digest()]
		for _, check := range []func(*onceItem, []harness.Dispatch) error{checkDispatchedOnce, checkAnswers, checkRefusedNeverRan, checkFinalOutcome} {
			if err := check(item, dispatches); err != nil {
				wrong = append(wrong, fmt.Errorf("%s: %w; dispatches %+v, sendings %+v", item.key(), err, dispatches, item.history()))
			}
		}
	}
	return wrong
}

// checkRuns holds an item to one dispatch at one target.
func checkDispatchedOnce(_ *onceItem, dispatches []harness.Dispatch) error {
	if len(dispatches) > 1 {
		return fmt.Errorf("dispatched %d times", len(dispatches))
	}
	return nil
}

// checkAnswers compares whole answers and refusals as "ran" with the journal.
func checkAnswers(item *onceItem, dispatches []harness.Dispatch) error {
	for _, s := range item.history() {
		switch {
		case s.complete && !s.correct:
			return fmt.Errorf("wrong answer through %s", s.daemon)
		case s.complete && (len(dispatches) == 0 || dispatches[0].Stream != s.stream):
			return fmt.Errorf("answer of stream %s through %s, which the journals do not have", s.stream, s.daemon)
		case s.verdict == verdict.Ran && (len(dispatches) == 0 || !dispatches[0].Completed):
			return fmt.Errorf("refused through %s as ran", s.daemon)
		}
	}
	return nil
}

// checkRefusedNeverRan rejects a dispatch before the first sending that did not end in
// a refusal as "not run". Later refusals as "not run" speak of their own
// sending only: a daemon that is cut off cannot know of the others.
func checkRefusedNeverRan(item *onceItem, dispatches []harness.Dispatch) error {
	for _, s := range item.history() {
		if s.verdict != verdict.NotRun {
			for _, d := range dispatches {
				if d.Accepted.Before(s.sent) {
					return fmt.Errorf("dispatched to %s at %v although every sending until then was refused as not run", d.Target, d.Accepted)
				}
			}
			return nil
		}
	}
	if len(dispatches) > 0 {
		return fmt.Errorf("dispatched to %s although every sending was refused as not run", dispatches[0].Target)
	}
	return nil
}

// checkEnd wants a whole answer or a truthful refusal at the end. Without
// faults, "not run" has to hold for the key as a whole.
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
		return fmt.Errorf("no answer and no refusal at the end: %w", last.err)
	case last.verdict == verdict.NotRun && len(dispatches) > 0:
		return fmt.Errorf("refused as not run at the end, but %s ran it", dispatches[0].Target)
	}
	return nil
}

// tally counts how the items ended.
func (o *onceOracle) countOutcomes() map[string]int {
	counts := make(map[string]int)
	for _, item := range o.items {
		counts["sendings"] += len(item.history())
		counts[finalOutcome(item)]++
		if len(o.dispatched[item.digest()]) > 0 {
			counts["dispatched"]++
		}
	}
	return counts
}

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
