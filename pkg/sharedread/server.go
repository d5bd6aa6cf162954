package sharedread

import (
	"context"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
)

// copyNow returns a copy of the table, if the store has confirmed it recently.
func (r *Rows) copyNow(now time.Time) (Reply, error) {
	switch {
	case !r.publication.isLoaded() || r.options.ChangesOnly:
		return Reply{}, errNoCopy
	case !r.publication.isValid():
		return Reply{}, errInvalidCopy
	case r.publication.age(now) > maxAge:
		return Reply{}, errStale
	}
	return r.publication.copyTable(now)
}

// serveCopy returns a copy of the table when it is the turn of this request.
func (r *Rows) serveCopy(ctx context.Context, arrived time.Time) (Reply, error) {
	reply, err := r.copyNow(arrived)
	if err != nil {
		return Reply{}, err
	}
	wait, ok := r.copies.reserve(reply.packedBytes(), arrived)
	if !ok {
		return Reply{}, errBusy
	}
	if wait == 0 {
		return reply, nil
	}
	pause.For(ctx, wait)
	if ctx.Err() != nil {
		return Reply{}, ctx.Err()
	}
	now := time.Now()
	reply, err = r.copyNow(now)
	reply.HeldUs = now.Sub(arrived).Microseconds() // until the age was computed; what follows counts as transit
	return reply, err
}

// Serve answers another host that asks for changes. It returns as soon as there are any, and
// otherwise after the time that the host allows, or when the store has not confirmed the copy
// for maxAge. This host then reads the store itself for some time.
func (r *Rows) Serve(ctx context.Context, request Request) (Reply, error) {
	arrived := time.Now()
	r.policy.asked(arrived)
	if request.Copy {
		return r.serveCopy(ctx, arrived)
	}
	hold := max(0, min(time.Duration(request.HoldMs)*time.Millisecond, holdTime))
	for {
		changed := r.publication.await() // before the look, so that no change is missed
		if !r.publication.isLoaded() {
			return Reply{}, errNoCopy
		}
		if !r.publication.isValid() {
			return Reply{}, errInvalidCopy
		}
		now := time.Now()
		age := r.publication.age(now)
		reply, rows, err := r.publication.changes(request, now)
		held := now.Sub(arrived)
		switch {
		case err != nil:
			return Reply{}, err
		case len(rows) > 0:
			r.options.Observer.PassedOn(len(rows))
			reply.HeldUs = held.Microseconds() // until the age was computed; what follows counts as transit
			err := reply.setRows(rows)
			return reply, err
		case age > maxAge:
			return Reply{}, errStale
		case held >= hold && hold > 0 && request.since().NewerThan(reply.version()):
			return Reply{}, fmt.Errorf("%w: version %d, asked since %d", errLagging, reply.Number, request.Number)
		case held >= hold:
			reply.HeldUs = held.Microseconds()
			return reply, nil
		}
		waitForChange(ctx, changed, min(hold-held, maxAge-age+time.Millisecond))
		if ctx.Err() != nil {
			return Reply{}, ctx.Err()
		}
	}
}

func waitForChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
