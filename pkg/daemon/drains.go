package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// drainPrefix is the key prefix of the operators' drain orders. There is one
	// row per target, and every daemon reads all of them.
	drainPrefix = "drain/"
	// drainPollInterval is the interval at which a daemon reads the drain orders.
	drainPollInterval = 2 * time.Second
	// drainPageRows is the maximum number of drain orders read at each interval.
	drainPageRows = 1000
)

// drainOrder is the stored row of an operator's order to drain a target.
type drainOrder struct {
	Target    string `json:"target"`
	OrderedAt int64  `json:"ordered_at"` // Unix time, milliseconds
}

// Drain implements admin.Backend.
func (b backend) Drain(ctx context.Context, id string) error {
	d := b.daemon
	if _, ok := d.picker.Target(id); !ok {
		return fmt.Errorf("drain %s: %w", id, admin.ErrUnknownTarget)
	}
	value, err := json.Marshal(drainOrder{Target: id, OrderedAt: time.Now().UnixMilli()})
	if err != nil {
		return fmt.Errorf("encode drain order: %w", err)
	}
	txn := storage.Txn{ID: newRandomID("drain"), Puts: []storage.Put{{Key: drainPrefix + id, Value: value}}}
	if _, err := d.platform.Commit(ctx, txn); err != nil {
		return fmt.Errorf("store drain order: %w", err)
	}
	d.poller.Drain(id)
	return nil
}

// watchDrains applies the operators' drain orders at each interval until ctx ends.
func (d *Daemon) watchDrains(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		rows, err := d.platform.Scan(ctx, drainPrefix, "", drainPageRows)
		if err != nil {
			d.log.Debug().Err(err).Msg("Failed to read drain orders; the read is repeated at the next interval.")
		}
		for _, row := range rows {
			d.poller.Drain(strings.TrimPrefix(row.Key, drainPrefix))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
