package target

// trigger is an event of the life cycle machine.
type trigger string

const (
	triggerSlowStartOver trigger = "warm"    // slow start is over
	triggerFail          trigger = "fail"    // a connection or several reports failed
	triggerRecover       trigger = "recover" // reports succeed again after a short failure
	triggerLeave         trigger = "leave"   // any source says that the target is leaving
	triggerGone          trigger = "silent"  // reports failed for GoneAfter
	triggerJoin          trigger = "join"    // a new instance under the same id
)
