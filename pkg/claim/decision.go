package claim

import "github.com/peppertrail/peppertrail/pkg/verdict"

// Action is what the entry daemon must do with an attempt.
type Action string

const (
	Run    Action = "run"    // dispatch the request to a target
	Attach Action = "attach" // read the existing stream of the request
	Refuse Action = "refuse" // return an error to the caller
)

// Decision is the result of Decide for an attempt.
type Decision struct {
	Action  Action
	Target  string         // target of the existing stream; set if Action is Attach
	Stream  string         // id of the existing stream; set if Action is Attach
	Refusal *verdict.Error // error for the caller; set if Action is Refuse
}

func run() Decision {
	return Decision{Action: Run}
}

func attach(e *Entry) Decision {
	return Decision{Action: Attach, Target: e.Target, Stream: e.Stream}
}

func refuse(v verdict.Verdict, r verdict.Reason, format string, args ...any) Decision {
	return Decision{Action: Refuse, Refusal: verdict.New(v, r, format, args...)}
}
