package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/crashes"
	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/gossip"
	"github.com/peppertrail/peppertrail/pkg/ratelimit"
	"github.com/peppertrail/peppertrail/pkg/relay"
)

// The RPC methods by which a host asks the broker of a budget account to change its share,
// to reserve tokens of the broker's share for a request, and to settle such reservations.
const (
	methodChangeShare = "budget.share"
	methodReserve     = "budget.reserve"
	methodSettle      = "budget.settle"
)

// The RPC methods by which a host tells another one a usage report, and asks what it knows of an
// account that is recovered.
const (
	methodTellReport = "budget.report"
	methodRecall     = "budget.recall"
)

// handlePeerCalls makes a server serve the calls of other hosts that are not for the store.
func (d *Daemon) handlePeerCalls(server *relay.Server) {
	handle(server, methodChangeShare, d.budgets.ChangeShare)
	handle(server, methodReserve, d.budgets.ReserveFor)
	handle(server, methodRecall, d.budgets.Recall)
	handle(server, methodTellReport, func(_ context.Context, report escrow.UsageReport) (struct{}, error) {
		return struct{}{}, d.budgets.RecordReport(report)
	})
	handle(server, methodConfiguration, d.configurationRow)
	handle(server, methodLeaving, func(context.Context, struct{}) ([]balance.LeavingTarget, error) {
		return d.targets.LeavingTargets(time.Now()), nil
	})
	handle(server, methodTargetChanges, d.targetRows.Serve)
	handle(server, methodHostChanges, d.hostRows.Serve)
	handle(server, methodPermit, func(_ context.Context, request ratelimit.PermitRequest) (ratelimit.PermitReply, error) {
		return d.rateLimits.Issue(request, time.Now()), nil
	})
	handle(server, methodRateLimits, func(context.Context, struct{}) ([]ratelimit.Limit, error) {
		return d.rateLimits.Limits(), nil
	})
	handle(server, methodBlocked, func(context.Context, struct{}) ([]crashes.Event, error) {
		return d.crashes.Blocked(time.Now()), nil
	})
	handle(server, methodSettle, func(_ context.Context, request escrow.SettleRequest) (struct{}, error) {
		d.budgets.SettleFor(request)
		return struct{}{}, nil
	})
}

// handle registers a method whose parameters are a request.
func handle[Q, R any](server *relay.Server, method string, serve func(context.Context, Q) (R, error)) {
	server.Handle(method, func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Q
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, fmt.Errorf("%s: %w", method, err)
		}
		return serve(ctx, request)
	})
}

// requestShareChange asks the host at addr to change this host's share of a
// budget account.
func (d *Daemon) requestShareChange(ctx context.Context, addr string, request escrow.ShareRequest) (reply escrow.ShareReply, err error) {
	err = d.relay.Call(ctx, addr, methodChangeShare, request, &reply)
	return reply, err
}

// requestReservation asks the host at addr to reserve tokens for a request of this host.
func (d *Daemon) requestReservation(ctx context.Context, addr string, request escrow.ReserveRequest) (reply escrow.ReserveReply, err error) {
	err = d.relay.Call(ctx, addr, methodReserve, request, &reply)
	return reply, err
}

// sendSettlements settles reservations that the host at addr has made for this host.
func (d *Daemon) sendSettlements(ctx context.Context, addr string, request escrow.SettleRequest) error {
	var reply struct{}
	return d.relay.Call(ctx, addr, methodSettle, request, &reply)
}

// tellReport tells the host at addr a usage report of this one. A host of a release without this
// method counts as told, so that the hosts of this release go on while it is introduced.
func (d *Daemon) tellReport(ctx context.Context, addr string, report escrow.UsageReport) error {
	var reply struct{}
	err := d.relay.Call(ctx, addr, methodTellReport, report, &reply)
	if errors.Is(err, relay.ErrUnknownMethod) {
		return nil
	}
	return err
}

// recallAccount asks the host at addr what it knows of an account.
func (d *Daemon) recallAccount(ctx context.Context, addr string, request escrow.RecallRequest) (reply escrow.RecallReply, err error) {
	err = d.relay.Call(ctx, addr, methodRecall, request, &reply)
	return reply, err
}

// announceShortage notifies the holders of shares, or other hosts if these are not known,
// that this host has too few tokens of a customer for a request. repeated: it still has too
// few after the holders have been told.
func (d *Daemon) announceShortage(customer string, holders []string, repeated bool) {
	message := gossip.Message{Customer: customer, StillLacks: repeated}
	switch {
	case d.gossip == nil:
	case holders == nil:
		d.gossip.Send(message)
	default:
		d.gossip.SendTo(message, holders)
	}
}
