package target

// trigger is an event of the life cycle state machine.
type trigger string

const (
	triggerSlowStartOver trigger = "warm"    // the slow start is over
	triggerFail          trigger = "fail"    // a connection or several consecutive reports failed
	triggerRecover       trigger = "recover" // reports succeed again after a short failure
	triggerLeave         trigger = "leave"   // the list, a report or an operator says that the target is leaving, or it was unlisted for DrainUnlistedAfter
	triggerGone          trigger = "silent"  // all reports failed for GoneAfter, or an unlisted target has drained
	triggerJoin          trigger = "join"    // a new instance with the same id has started
)
