// Package verdict states whether a request may have run, and why it was refused.
//
// Every refusal that a daemon sends contains a Verdict and a Reason from a fixed set.
// Callers decide by the Verdict whether a retry is safe.
package verdict

// Verdict states whether a request may have run at a target.
type Verdict string

const (
	// NotRun means that no target received any part of the request.
	NotRun Verdict = "not_run"
	// MayHaveRun means that a target received the request and the outcome is unknown or incomplete.
	MayHaveRun Verdict = "may_have_run"
	// Ran means that a target completed the request.
	Ran Verdict = "ran"
)

// Valid reports whether v is one of the defined verdicts.
func (v Verdict) Valid() bool {
	return v == NotRun || v == MayHaveRun || v == Ran
}
