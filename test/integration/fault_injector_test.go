package integration

import (
	"testing"
	"time"

	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/test/harness"
	"github.com/peppertrail/peppertrail/test/harness/proxy"
)

const (
	// lostReplyShare is the share of transactions whose reply is lost during
	// loseTableReplies.
	lostReplyShare = 0.3
	// slowLatencyMs is the table latency during slowTable. It exceeds the settle wait
	// of 250 ms.
	slowLatencyMs = 300
	// targetDelay is the delay of each block of data during delayTarget.
	targetDelay = 30 * time.Millisecond
)

// faultInjector carries out a fault plan on a fleet. It must be used only by the
// goroutine of the test, because it fails the test directly.
type faultInjector struct {
	t       *testing.T
	fleet   *harness.Fleet
	targets []*harness.Target
}

// run carries out the plan. It returns when every fault has ended and every daemon
// is ready.
func (i faultInjector) run(plan []fault) {
	i.t.Helper()
	began := time.Now()
	for _, event := range faultEvents(plan) {
		time.Sleep(time.Until(began.Add(event.at)))
		i.t.Logf("%5.2fs fault %q on index %d, ends=%v", time.Since(began).Seconds(), event.fault.kind, event.fault.index, event.ends)
		if event.ends {
			i.end(event.fault)
		} else {
			i.begin(event.fault)
		}
	}
	for _, d := range i.fleet.Daemons {
		d.AwaitStart()
	}
	i.fleet.AwaitReady()
	i.t.Logf("%5.2fs every daemon is ready", time.Since(began).Seconds())
}

// begin starts a fault.
func (i faultInjector) begin(f fault) {
	i.t.Helper()
	switch f.kind {
	case killDaemon, restartDaemon:
		i.fleet.Daemons[f.index].Kill()
	case pauseDaemon:
		i.fleet.Daemons[f.index].Pause()
	case tableOutage, loseTableReplies, slowTable:
		i.must(i.fleet.Platform.SetFaults(platformFaults(f.kind)))
	case killTarget:
		i.targets[f.index].Kill()
	case resetTarget:
		i.targets[f.index].Link.Reset()
	default:
		i.must(i.link(f).SetRules(linkRules(f.kind)))
	}
}

// end ends a fault and restores normal operation.
func (i faultInjector) end(f fault) {
	i.t.Helper()
	switch f.kind {
	case killDaemon, restartDaemon:
		i.fleet.Daemons[f.index].Launch(f.kind == restartDaemon)
	case pauseDaemon:
		i.fleet.Daemons[f.index].Resume()
	case tableOutage, loseTableReplies, slowTable:
		i.must(i.fleet.Platform.SetFaults(standin.Faults{}))
	case killTarget:
		i.targets[f.index].Start()
	case resetTarget: // the reset has no lasting effect
	default:
		i.must(i.link(f).Heal())
	}
}

// link returns the proxy that injects a fault.
func (i faultInjector) link(f fault) *proxy.Proxy {
	switch f.kind.resource(0).kind {
	case "peer link":
		return i.fleet.Daemons[f.index].PeerLink
	case "platform link":
		return i.fleet.Daemons[f.index].PlatformLink
	default:
		return i.targets[f.index].Link
	}
}

// platformFaults returns the settings of the platform stand-in for a fault.
func platformFaults(k faultKind) standin.Faults {
	switch k {
	case tableOutage:
		return standin.Faults{TableDown: true}
	case loseTableReplies:
		return standin.Faults{LostReplyProbability: lostReplyShare}
	default:
		return standin.Faults{LatencyMs: slowLatencyMs}
	}
}

// linkRules returns the rules of the proxy for a fault.
func linkRules(k faultKind) proxy.Rules {
	switch k {
	case holdPlatformReplies:
		return proxy.Rules{CutClient: true}
	case refuseTarget:
		return proxy.Rules{Refuse: true}
	case dropTargetReplies:
		return proxy.Rules{DropReplies: true}
	case resetOnTargetReply:
		return proxy.Rules{ResetOnReply: true}
	case halfOpenTarget:
		return proxy.Rules{HalfOpen: true}
	case delayTarget:
		return proxy.Rules{Delay: targetDelay}
	default:
		return proxy.Cut()
	}
}

func (i faultInjector) must(err error) {
	i.t.Helper()
	if err != nil {
		i.t.Fatal(err)
	}
}
