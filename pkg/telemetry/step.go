package telemetry

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// StepKind is the kind of a decision about a request.
type StepKind string

// Kinds of steps.
const (
	StepAdmitted   StepKind = "admitted"   // the request passed its checks and its token bound was computed
	StepTarget     StepKind = "target"     // a target was chosen
	StepReserved   StepKind = "reserved"   // the home granted the attempt
	StepAttached   StepKind = "attached"   // the home returned the id of an existing stream of the request
	StepDispatched StepKind = "dispatched" // the target accepted the request
	StepResumed    StepKind = "resumed"    // an interrupted stream was resumed
	StepFailed     StepKind = "failed"     // the attempt failed
	StepSettled    StepKind = "settled"    // the attempt was settled or its settlement queued
	StepCancelled  StepKind = "cancelled"  // the caller disconnected or the output limit was reached
	StepRefused    StepKind = "refused"    // a refusal was sent to the caller
	StepCompleted  StepKind = "completed"  // the complete response was sent
)

// Step is one decision about a request.
type Step struct {
	At      time.Time       `json:"at"` // time of the decision
	Kind    StepKind        `json:"kind"`
	Attempt int             `json:"attempt,omitempty"` // number of the attempt, from 1
	Target  string          `json:"target,omitempty"`  // target id
	Stream  string          `json:"stream,omitempty"`  // stream id
	Tokens  int64           `json:"tokens,omitempty"`  // token bound or token usage, depending on the kind
	Verdict verdict.Verdict `json:"verdict,omitempty"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	Detail  string          `json:"detail,omitempty"` // reason of the decision, as one sentence
}
