package admin

import (
	"fmt"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/claim"
)

const explanationWithoutRows = "The table holds nothing about this request: it was not billed and not claimed. " +
	"It was refused, is still running, or its bill line is still queued at a daemon; " +
	"if its daemon died, its cost is in the written-off part of a grant."

// explain describes in plain text what the rows of a request mean.
func explain(r RequestReply) string {
	if r.Line == nil && r.Claim == nil {
		return explanationWithoutRows
	}
	var sentences []string
	if r.Line != nil {
		sentences = append(sentences, explainLine(*r.Line)...)
	}
	if r.Claim != nil {
		sentences = append(sentences, explainClaim(*r.Claim, r.Line != nil)...)
	}
	if r.Crash != nil {
		sentences = append(sentences, explainCrash(*r.Crash))
	}
	return strings.Join(sentences, " ")
}

func explainLine(l budget.Line) []string {
	sentences := []string{
		fmt.Sprintf("It was billed once, at %s: %d tokens of budget %s, for %d attempts.",
			formatMillis(l.BilledAt), l.Tokens, l.Budget, l.Attempts),
	}
	streams := strings.Join(l.Streams, ", ")
	if l.Completed {
		sentences = append(sentences, fmt.Sprintf("Target %s answered it completely (streams %s).", l.Target, streams))
	} else {
		sentences = append(sentences, fmt.Sprintf("No attempt completed; the first was at target %s (streams %s) and may have run.", l.Target, streams))
	}
	if l.ExtraTokens > 0 {
		sentences = append(sentences, fmt.Sprintf("Other attempts used %d tokens, which the budget paid too.", l.ExtraTokens))
	}
	if l.Estimated {
		sentences = append(sentences, "Part of the cost is an upper bound, because a target did not report its usage.")
	}
	return sentences
}

func explainClaim(c claim.Record, billed bool) []string {
	sentences := []string{
		fmt.Sprintf("It is non-idempotent and was claimed at %s by daemon %s for stream %s at target %s; it is never run again.",
			formatMillis(c.ClaimedAt), c.Entry, c.Stream, c.Target),
	}
	if !billed {
		sentences = append(sentences, "There is no bill line yet: it is running, its line is queued at a daemon, or the daemon died and the written-off part of its grant covers the cost.")
	}
	return sentences
}

func explainCrash(c claim.CrashRecord) string {
	return fmt.Sprintf("Requests with its content crashed %d targets (%s), last at %s.",
		len(c.Targets), strings.Join(c.Targets, ", "), formatMillis(c.LastSeen))
}

func formatMillis(milli int64) string {
	return time.UnixMilli(milli).UTC().Format(time.RFC3339)
}
