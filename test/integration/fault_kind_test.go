package integration

// faultKind is one kind of injected fault.
type faultKind string

// Kinds of faults. A fault lasts from its start to its end. Where two actions are
// named, the first starts the fault and the second ends it.
const (
	killDaemon          faultKind = "kill"                  // SIGKILL, then a start on new addresses
	restartDaemon       faultKind = "kill and restart"      // SIGKILL, then a start on the same addresses
	pauseDaemon         faultKind = "pause"                 // SIGSTOP, then SIGCONT
	cutPeer             faultKind = "cut peer"              // other daemons cannot reach the daemon
	cutPlatform         faultKind = "cut platform"          // the daemon cannot reach the platform
	holdPlatformReplies faultKind = "hold platform replies" // replies of the platform to the daemon are held back
	tableOutage         faultKind = "table outage"          // the table is unavailable to every daemon
	loseTableReplies    faultKind = "lose table replies"    // the replies to a share of all transactions are lost
	slowTable           faultKind = "slow table"            // the table is slow for every daemon
	refuseTarget        faultKind = "refuse"                // the target's address refuses connections
	resetTarget         faultKind = "reset"                 // connections to the target are reset, once
	dropTargetReplies   faultKind = "drop target replies"   // the target receives requests, but its replies are dropped
	resetOnTargetReply  faultKind = "reset on target reply" // connections are reset after the first block of reply data
	halfOpenTarget      faultKind = "half-open"             // new connections to the target are accepted but not forwarded
	delayTarget         faultKind = "delay"                 // all data from and to the target is delayed
	cutTarget           faultKind = "cut target"            // all data from and to the target is held back
	killTarget          faultKind = "kill target"           // SIGKILL, then a start behind the same proxy
)

// resource is a part of the fleet that only one fault may act on at a time.
type resource struct {
	kind  string
	index int
}

// resource returns the resource that a fault of this kind acts on.
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
