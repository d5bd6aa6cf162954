package target

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// lifecycle runs the state machine of all targets of one tracker. The machine
// is shared because its configuration costs several kilobytes per instance.
type lifecycle struct {
	machine *stateless.StateMachine
	current State // state of the target that fire works on
}

// newLifecycle returns the configured machine.
func newLifecycle() *lifecycle {
	l := &lifecycle{}
	l.machine = stateless.NewStateMachineWithExternalStorage(l.currentState, l.setState, stateless.FiringImmediate)
	l.machine.Configure(Joining).
		Permit(triggerSlowStartOver, Ready).
		Permit(triggerFail, Suspect).
		Permit(triggerLeave, Draining).
		Permit(triggerGone, Gone).
		PermitReentry(triggerJoin).
		Ignore(triggerRecover)
	l.machine.Configure(Ready).
		Permit(triggerFail, Suspect).
		Permit(triggerLeave, Draining).
		Permit(triggerGone, Gone).
		Permit(triggerJoin, Joining).
		Ignore(triggerRecover).
		Ignore(triggerSlowStartOver)
	l.machine.Configure(Suspect).
		Permit(triggerRecover, Ready).
		Permit(triggerLeave, Draining).
		Permit(triggerGone, Gone).
		Permit(triggerJoin, Joining).
		Ignore(triggerFail).
		Ignore(triggerSlowStartOver)
	// Draining has no way back to Ready: only a new instance takes work again.
	l.machine.Configure(Draining).
		Permit(triggerGone, Gone).
		Permit(triggerJoin, Joining).
		Ignore(triggerLeave).
		Ignore(triggerFail).
		Ignore(triggerRecover).
		Ignore(triggerSlowStartOver)
	l.machine.Configure(Gone).
		Permit(triggerJoin, Joining).
		Ignore(triggerLeave).
		Ignore(triggerGone).
		Ignore(triggerFail).
		Ignore(triggerRecover).
		Ignore(triggerSlowStartOver)
	return l
}

// next returns the state that t leads to from state.
func (l *lifecycle) next(state State, t trigger) State {
	l.current = state
	if err := l.machine.Fire(t); err != nil {
		// Every trigger is configured in every state, so this is a programming error.
		panic(fmt.Sprintf("target life cycle: %s in %s: %v", t, state, err))
	}
	return l.current
}

func (l *lifecycle) currentState(context.Context) (stateless.State, error) {
	return l.current, nil
}

func (l *lifecycle) setState(_ context.Context, s stateless.State) error {
	state, ok := s.(State)
	if !ok {
		return fmt.Errorf("state of type %T", s)
	}
	l.current = state
	return nil
}
