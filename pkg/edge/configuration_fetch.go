package edge

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// methodConfiguration is the RPC method that returns the row of the configuration in force at a
// host.
const methodConfiguration = "configuration.get"

const (
	// fetchDelay is the time for which a host leaves a newer configuration to its own reads of
	// the store, which usually bring it within milliseconds.
	fetchDelay = 300 * time.Millisecond
	// fetchTimeout bounds one read from another host.
	fetchTimeout = time.Second
	// fetchPause is the time between two such reads.
	fetchPause = 100 * time.Millisecond
)

var errNoConfiguration = errors.New("this host has no configuration")

// configurationRow returns the row of the configuration in force.
func (d *Daemon) configurationRow(context.Context, struct{}) (storage.PartRow, error) {
	row := d.configurationInForce.Load()
	if row == nil {
		return storage.PartRow{}, errNoConfiguration
	}
	return *row, nil
}

// fetchConfigurations reads newer configurations from the hosts that name them, while this host
// does not get them from the store.
func (d *Daemon) fetchConfigurations(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-d.newerNamed:
		case <-ctx.Done():
			return
		}
		pause.For(ctx, fetchDelay)
		for ctx.Err() == nil && d.configurationBehind() > 0 {
			if err := d.fetchConfiguration(ctx); err != nil {
				d.log.Info().Err(err).Dur("behind", d.configurationBehind()).Msg("Newer configuration could not be read from another host. The read is repeated.")
			}
			pause.For(ctx, fetchPause)
		}
	}
}

func (d *Daemon) fetchConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	host := d.configurationLag.namedBy()
	peer, known := d.budgets.Peers()[host]
	if !known || peer.Addr == "" {
		return errors.New("no address is known of the host that names it: " + host)
	}
	var row storage.PartRow
	if err := d.relay.Call(ctx, peer.Addr, methodConfiguration, struct{}{}, &row); err != nil {
		return err
	}
	if !d.applyConfiguration(row) && d.configurationBehind() > 0 {
		d.configurationLag.forget() // each read would transfer the same row
		return errors.New("the host that names it has none that is newer: " + host)
	}
	return nil
}
