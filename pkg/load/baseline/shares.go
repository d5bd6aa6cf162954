package baseline

import (
	"context"
	"strconv"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// ShareID returns the id of the row that holds one daemon's share of a budget.
func ShareID(budget string, index int) string {
	return budget + ".share" + strconv.Itoa(index)
}

// shareAuthority serves each budget from the row of this daemon's share. The
// local authority debits the whole row at the first request, because
// the bundle of a fleet with the Static policy sets a minimum grant larger than any
// share. Settlement, bill
// lines and group commit are those of the daemon.
type shareAuthority struct {
	local home.Authority
	index int
}

// For implements gateway.Authorities.
func (s shareAuthority) For(_, _ string) home.Authority { return s }

// Reserve implements home.Authority.
func (s shareAuthority) Reserve(ctx context.Context, req home.ReserveRequest) (home.ReserveReply, error) {
	req.Budget = ShareID(req.Budget, s.index)
	return s.local.Reserve(ctx, req)
}

// Settle implements home.Authority.
func (s shareAuthority) Settle(ctx context.Context, req home.SettleRequest) (home.SettleReply, error) {
	req.Budget = ShareID(req.Budget, s.index)
	return s.local.Settle(ctx, req)
}
