package integration

// faultKind is one kind of injected fault.
type faultKind string

// Kinds of faults. A fault lasts from its begin to its end.
const (
	killDaemon          faultKind = "kill"             // SIGKILL, then a start on new addresses
	restartDaemon       faultKind = "kill and restart" // SIGKILL, then a start on the same addresses
	pauseDaemon         faultKind = "pause"            // SIGSTOP, then SIGCONT
	cutPeer             faultKind = "cut peer"         // other daemons cannot reach the daemon
	cutPlatform         faultKind = "cut platform"     // the daemon cannot reach the platform
	holdPlatformReplies faultKind = "lose replies"     // the platform's replies to the daemon are held
	tableOutage         faultKind = "table down"       // for every daemon
	loseTableReplies    faultKind = "lost replies"     // of a share of all transactions
	slowTable           faultKind = "slow table"       // for every daemon
	refuseTarget        faultKind = "refuse"           // the target's address refuses connections
	resetTarget         faultKind = "reset"            // connections to the target are reset, once
	dropTargetReplies   faultKind = "drop answers"     // the target receives requests, its answers are dropped
	resetOnTargetReply  faultKind = "break answers"    // connections are reset after each piece of an answer
	halfOpenTarget      faultKind = "half-open"        // new connections to the target lead nowhere
	delayTarget         faultKind = "delay"            // of all data from and to the target
	cutTarget           faultKind = "cut target"       // no data from and to the target
	killTarget          faultKind = "kill target"      // SIGKILL, then a start behind the same proxy
)

// resource is what two faults must not use at the same time.
type resource struct {
	kind  string
	index int
}

// resource returns what the fault acts on.
func (k faultKind) resource(index int) resource {
	switch k {
	case killDaemon, restartDaemon, pauseDaemon:
		return resource{"daemon", index}
	case cutPeer:
		return resource{"peer link", index}
	case cutPlatform, holdPlatformReplies:
		return resource{"platform link", index}
	case tableOutage, loseTableReplies, slowTable:
		return resource{"platform", 0}
	case killTarget:
		return resource{"target", index}
	default:
		return resource{"target link", index}
	}
}
