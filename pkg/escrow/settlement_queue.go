package escrow

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
)

const (
	// settlementInterval is the time over which settlements for one broker are collected.
	settlementInterval = 100 * time.Millisecond
	// settlementTimeout bounds a call that settles reservations.
	settlementTimeout = 500 * time.Millisecond
	// maxSettlementAttempts is how often settlements are sent. A broker that does not
	// receive them counts all tokens of the reservations as spent when they expire.
	maxSettlementAttempts = 5
)

// settlementQueue collects the settlements of reservations that brokers have made. The
// manager's mutex protects it.
type settlementQueue struct {
	byBroker map[string][]Settlement // by address of the broker
	wake     chan struct{}
	sending  int // calls in progress
}

func newSettlementQueue() settlementQueue {
	return settlementQueue{byBroker: make(map[string][]Settlement), wake: make(chan struct{}, 1)}
}

// add queues a settlement.
func (q *settlementQueue) add(broker string, s Settlement) {
	q.byBroker[broker] = append(q.byBroker[broker], s)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// runSettlements sends queued settlements until ctx ends.
func (m *Manager) runSettlements(ctx context.Context) {
	for {
		select {
		case <-m.settlements.wake:
		case <-ctx.Done():
			return
		}
		pause.For(ctx, settlementInterval)
		m.mu.Lock()
		batch := m.settlements.byBroker
		m.settlements.byBroker = make(map[string][]Settlement, len(batch))
		m.settlements.sending += len(batch)
		m.mu.Unlock()
		for broker, settlements := range batch {
			go m.sendSettlements(ctx, broker, settlements)
		}
	}
}

func (m *Manager) sendSettlements(ctx context.Context, broker string, settlements []Settlement) {
	defer func() {
		m.mu.Lock()
		m.settlements.sending--
		m.mu.Unlock()
	}()
	request := SettleRequest{Incarnation: m.options.Incarnation, Settlements: settlements}
	var err error
	for attempt := range maxSettlementAttempts {
		pause.For(ctx, time.Duration(attempt)*settlementTimeout)
		if ctx.Err() != nil {
			return
		}
		if err = m.settleOnce(ctx, broker, request); err == nil {
			return
		}
	}
	m.options.Log.Info().Err(err).Str("peer", broker).Int("settlements", len(settlements)).Msg("Reservations could not be settled at their broker. It counts all their tokens as spent.")
}

func (m *Manager) settleOnce(ctx context.Context, broker string, request SettleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, settlementTimeout)
	defer cancel()
	return m.options.SendSettlements(ctx, broker, request)
}

// settled reports whether nothing is left to send.
func (q *settlementQueue) settled() bool { return len(q.byBroker) == 0 && q.sending == 0 }
