package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/crashes"
	"github.com/peppertrail/peppertrail/pkg/gossip"
)

// methodBlocked is the RPC method that returns the requests and the parts of prompts that a
// host blocks.
const methodBlocked = "parts.blocked"

const (
	// blockedInterval is the time between two announcements of what is blocked, for
	// hosts that were cut off or missed the datagrams.
	blockedInterval = 500 * time.Millisecond
	// blockedFanout is the number of hosts that each of them is sent to.
	blockedFanout = 3
	// maxAnnouncedBlocks is the number of blocks, and of recent crashes, chosen at random, in one
	// announcement.
	maxAnnouncedBlocks = 8
	// maxBlockNotes is the number of blocks in the row of a host, which every host reads. They
	// are those that last longest.
	maxBlockNotes = 8
	// maxNotesAge is the age up to which the row of a process that has ended is believed. What
	// it tells may have been released since.
	maxNotesAge = 2 * time.Minute
)

// crashEventMessage returns the datagram for an event.
func crashEventMessage(e crashes.Event) gossip.Message {
	return gossip.Message{CrashEvent: string(e.Kind), Target: e.Target.ID, Born: e.Target.Born, Keys: e.Keys, RemainingMs: e.Remaining.Milliseconds(), Trials: e.Trials, AgeMs: e.Age.Milliseconds()}
}

// crashEvent returns the event of a datagram.
func crashEvent(m gossip.Message) crashes.Event {
	return crashes.Event{
		Kind: crashes.EventKind(m.CrashEvent), Target: crashes.Target{ID: m.Target, Born: m.Born}, Keys: m.Keys,
		Remaining: time.Duration(m.RemainingMs) * time.Millisecond, Trials: m.Trials, Age: time.Duration(m.AgeMs) * time.Millisecond,
	}
}

// announceBlocked periodically tells some other hosts which requests and parts of prompts are
// blocked, and of recent crashes.
func (d *Daemon) announceBlocked(ctx context.Context) {
	ticker := time.NewTicker(blockedInterval)
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
		d.announceSome(d.crashes.Blocked(time.Now()))
		d.announceSome(d.crashes.Suspects(time.Now()))
	}
}

// announceSome sends some events, chosen at random, to some other hosts.
func (d *Daemon) announceSome(events []crashes.Event) {
	rand.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	for _, e := range events[:min(len(events), maxAnnouncedBlocks)] {
		d.gossip.SendToSome(crashEventMessage(e), blockedFanout)
	}
}

// learnBlocked asks another host for the requests and the parts of prompts that it blocks.
func (d *Daemon) learnBlocked(ctx context.Context, peer string) {
	var events []crashes.Event
	if err := d.relay.Call(ctx, peer, methodBlocked, struct{}{}, &events); err != nil {
		d.log.Debug().Err(err).Str("peer", peer).Msg("Requests and parts of prompts that crash targets could not be asked of another host. Hosts also announce them.")
		return
	}
	for _, e := range events {
		d.crashes.Receive(e, time.Now())
	}
}

// blockNotes returns what the row of this host tells of blocked requests and parts of prompts.
// Processes that start while no other one runs, as after a loss of power, have no host to ask.
func (d *Daemon) blockNotes() json.RawMessage {
	blocked := d.crashes.Blocked(time.Now())
	if len(blocked) == 0 {
		return nil
	}
	slices.SortFunc(blocked, func(a, b crashes.Event) int { return cmp.Compare(b.Remaining, a.Remaining) })
	notes, err := json.Marshal(blocked[:min(len(blocked), maxBlockNotes)])
	if err != nil {
		d.log.Error().Err(err).Msg("Blocked requests and parts of prompts cannot be encoded. Other hosts are not told by the row of this host.")
		return nil
	}
	return notes
}

// receiveBlockNotes applies the notes in the row of another process.
func (d *Daemon) receiveBlockNotes(notes json.RawMessage, age time.Duration) {
	if age > maxNotesAge {
		return
	}
	var blocked []crashes.Event
	if err := json.Unmarshal(notes, &blocked); err != nil {
		d.log.Error().Err(err).Msg("Notes in the row of another host cannot be decoded. They are ignored.")
		return
	}
	for _, e := range blocked[:min(len(blocked), maxBlockNotes)] {
		e.Age += age
		if e.Remaining -= age; e.Kind == crashes.Blocked && e.Remaining > 0 {
			d.crashes.Receive(e, time.Now())
		}
	}
}
