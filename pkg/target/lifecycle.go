package target

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// lifecycle is the state machine of the targets of one tracker. All targets
// share one state machine because the configuration of each state machine takes
// several kilobytes.
type lifecycle struct {
	machine *stateless.StateMachine
	current State // state of the target for which nextState is running
}

// newLifecycle returns a state machine with all transitions configured.
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
	// There is no transition from Draining to Ready: only a new instance takes
	// work again.
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

// nextState returns the state that trigger t leads to from state.
func (l *lifecycle) nextState(state State, t trigger) State {
	l.current = state
	if err := l.machine.Fire(t); err != nil {
		// Every trigger is configured in every state, so this is a programming error.
		panic(fmt.Sprintf("target life cycle: trigger %s in state %s: %v", t, state, err))
	}
	return l.current
}

func (l *lifecycle) currentState(context.Context) (stateless.State, error) {
	return l.current, nil
}

func (l *lifecycle) setState(_ context.Context, s stateless.State) error {
	state, ok := s.(State)
	if !ok {
		return fmt.Errorf("target life cycle: state has type %T, want State", s)
	}
	l.current = state
	return nil
}
