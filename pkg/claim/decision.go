package claim

import "github.com/peppertrail/peppertrail/pkg/verdict"

// Action is what happens with an attempt.
type Action string

// Actions.
const (
	Run    Action = "run"
	Attach Action = "attach"
	Refuse Action = "refuse"
)

// Decision is the answer to an attempt.
type Decision struct {
	Action  Action
	Target  string // with Attach
	Stream  string // with Attach
	Refusal *verdict.Error
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
