package daemon

import (
	"context"

	"github.com/peppertrail/peppertrail/pkg/claim"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// claims reads the claims of non-idempotent requests from the table for the gateway.
type claims struct {
	table storage.Table
}

// Claimed implements gateway.Claims.
func (c claims) Claimed(ctx context.Context, customer, request string) (bool, error) {
	rows, err := c.table.Get(ctx, claim.Key(customer, request))
	if err != nil {
		return false, err
	}
	return rows[0].Version != 0, nil
}
