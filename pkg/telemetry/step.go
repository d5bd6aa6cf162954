package telemetry

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// StepKind tells what was decided about a request.
type StepKind string

// Kinds of steps.
const (
	StepAdmitted   StepKind = "admitted"   // checks passed, bound computed
	StepTarget     StepKind = "target"     // a target was chosen
	StepReserved   StepKind = "reserved"   // the home granted the attempt
	StepAttached   StepKind = "attached"   // the home named a stream that exists already
	StepDispatched StepKind = "dispatched" // the target accepted the request
	StepResumed    StepKind = "resumed"    // a broken stream was continued
	StepFailed     StepKind = "failed"     // the attempt failed
	StepSettled    StepKind = "settled"    // the attempt was settled or its settlement queued
	StepCancelled  StepKind = "cancelled"  // the caller left or the output limit was reached
	StepRefused    StepKind = "refused"    // the caller was refused
	StepCompleted  StepKind = "completed"  // the whole answer was sent
)

// Step is one decision about a request.
type Step struct {
	At      time.Time       `json:"at"`
	Kind    StepKind        `json:"kind"`
	Attempt int             `json:"attempt,omitempty"` // from 1
	Target  string          `json:"target,omitempty"`
	Stream  string          `json:"stream,omitempty"`
	Tokens  int64           `json:"tokens,omitempty"` // bound or usage, by kind
	Verdict verdict.Verdict `json:"verdict,omitempty"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	Detail  string          `json:"detail,omitempty"` // why, in one sentence
}
