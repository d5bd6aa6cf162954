package telemetry

import "github.com/peppertrail/peppertrail/pkg/verdict"

// Outcome is the result of a caller's request.
type Outcome string

// Outcomes of requests.
const (
	OutcomeCompleted Outcome = "completed" // the complete response was sent
	OutcomeRefused   Outcome = "refused"   // refused before any part of a response was sent
	OutcomeFailed    Outcome = "failed"    // ended with an error after a part of the response was sent
	OutcomeCancelled Outcome = "cancelled" // the caller disconnected
)

// CommitOutcome is the result of a table transaction.
type CommitOutcome string

// Outcomes of table transactions.
const (
	CommitDone     CommitOutcome = "committed"
	CommitConflict CommitOutcome = "conflict"
	CommitFenced   CommitOutcome = "fenced"
	CommitUnknown  CommitOutcome = "unknown" // no reply; the same id is submitted again
)

// RepairKind is the kind of a repair.
type RepairKind string

// Kinds of repairs.
const (
	RepairHolderFenced      RepairKind = "holder_fenced"      // a holder that stopped renewing was fenced
	RepairGrantClosed       RepairKind = "grant_closed"       // the grant of a failed holder was closed and its remainder written off
	RepairGrantRefunded     RepairKind = "grant_refunded"     // the unspent part of a closed grant was returned to its budget
	RepairGrantKept         RepairKind = "grant_kept"         // evidence was missing, so the written-off part remains charged
	RepairLateLine          RepairKind = "late_line"          // a bill line for a closed grant was moved out of its written-off part
	RepairRequestStopped    RepairKind = "request_stopped"    // a request that crashed several targets is refused from now on
	RepairLeaseTaken        RepairKind = "lease_taken"        // a role was taken over from a holder that did not renew it
	RepairTargetQuarantined RepairKind = "target_quarantined" // a target that failed receives no new requests
	RepairBundleCaughtUp    RepairKind = "bundle_caught_up"   // a bundle was received from a peer, or versions were skipped
	RepairAttemptExpired    RepairKind = "attempt_expired"    // the bound of an attempt that no daemon settled was charged
	RepairBadRow            RepairKind = "bad_row"            // a table row that cannot be decoded was skipped
)

func outcomes() []Outcome {
	return []Outcome{OutcomeCompleted, OutcomeRefused, OutcomeFailed, OutcomeCancelled}
}

func commitOutcomes() []CommitOutcome {
	return []CommitOutcome{CommitDone, CommitConflict, CommitFenced, CommitUnknown}
}

func repairKinds() []RepairKind {
	return []RepairKind{RepairHolderFenced, RepairGrantClosed, RepairGrantRefunded, RepairGrantKept, RepairLateLine, RepairRequestStopped, RepairAttemptExpired,
		RepairLeaseTaken, RepairTargetQuarantined, RepairBundleCaughtUp, RepairBadRow}
}

func verdicts() []verdict.Verdict {
	return []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}
}
