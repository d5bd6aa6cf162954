package daemon

import (
	"context"
	"sync"

	"github.com/phuslu/log"
	"github.com/qmuntal/stateless"
)

// Phases of the daemon.
const (
	phaseStarting = "starting" // the daemon registers the host and is not ready
	phaseServing  = "serving"  // the daemon can report itself as ready
	phaseLeaving  = "leaving"  // the daemon is not ready but accepts new requests for leaveDelay
	phaseDraining = "draining" // the daemon refuses new requests and completes open ones
	phaseStopped  = "stopped"  // the graceful stop has ended, with or without an error
)

// Triggers of phase transitions.
const (
	triggerStarted = "started"
	triggerLeave   = "leave"
	triggerDrain   = "drain"
	triggerStop    = "stop"
)

// lifecycle is the state machine of the daemon's phases. It is safe for concurrent use.
type lifecycle struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
	log     *log.Logger
}

func newLifecycle(logger *log.Logger) *lifecycle {
	m := stateless.NewStateMachine(phaseStarting)
	m.Configure(phaseStarting).Permit(triggerStarted, phaseServing).Permit(triggerLeave, phaseLeaving)
	m.Configure(phaseServing).Permit(triggerLeave, phaseLeaving)
	m.Configure(phaseLeaving).Permit(triggerDrain, phaseDraining).Ignore(triggerStarted)
	m.Configure(phaseDraining).Permit(triggerStop, phaseStopped)
	return &lifecycle{machine: m, log: logger}
}

func (l *lifecycle) fire(trigger string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.machine.Fire(trigger); err != nil {
		l.log.Error().Err(err).Msg("Phase transition refused; the daemon keeps its phase.")
	}
}

func (l *lifecycle) phase() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, err := l.machine.State(context.Background())
	if err != nil {
		return phaseStarting
	}
	return state.(string)
}

// stopBegun reports whether a graceful stop has begun or completed.
func (l *lifecycle) stopBegun() bool {
	p := l.phase()
	return p != phaseStarting && p != phaseServing
}
