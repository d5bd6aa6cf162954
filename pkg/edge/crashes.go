package edge

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/crashparts"
	"github.com/peppertrail/peppertrail/pkg/gossip"
)

// methodBlockedParts is the RPC method that returns the parts of prompts that a host blocks.
const methodBlockedParts = "parts.blocked"

const (
	// blockedPartsInterval is the time between two announcements of the blocked parts, for
	// hosts that were cut off or missed the datagrams.
	blockedPartsInterval = 500 * time.Millisecond
	// blockedPartsFanout is the number of hosts that each of them is sent to.
	blockedPartsFanout = 3
)

// crashEventMessage returns the datagram for an event.
func crashEventMessage(e crashparts.Event) gossip.Message {
	return gossip.Message{CrashEvent: string(e.Kind), Target: e.Target.ID, Born: e.Target.Born, Parts: e.Parts, RemainingMs: e.Remaining.Milliseconds()}
}

// crashEvent returns the event of a datagram.
func crashEvent(m gossip.Message) crashparts.Event {
	return crashparts.Event{
		Kind: crashparts.EventKind(m.CrashEvent), Target: crashparts.Target{ID: m.Target, Born: m.Born}, Parts: m.Parts,
		Remaining: time.Duration(m.RemainingMs) * time.Millisecond,
	}
}

// announceBlockedParts periodically tells some other hosts which parts are blocked.
func (d *Daemon) announceBlockedParts(ctx context.Context) {
	ticker := time.NewTicker(blockedPartsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if d.gossip == nil {
			continue
		}
		for _, e := range d.crashParts.BlockedParts(time.Now()) {
			d.gossip.SendToSome(crashEventMessage(e), blockedPartsFanout)
		}
	}
}

// learnBlockedParts asks another host for the parts that it blocks.
func (d *Daemon) learnBlockedParts(ctx context.Context, peer string) {
	var events []crashparts.Event
	if err := d.relay.Call(ctx, peer, methodBlockedParts, struct{}{}, &events); err != nil {
		d.log.Debug().Err(err).Str("peer", peer).Msg("Blocked parts of prompts could not be asked of another host. Hosts also announce them.")
		return
	}
	for _, e := range events {
		d.crashParts.Receive(e, time.Now())
	}
}
