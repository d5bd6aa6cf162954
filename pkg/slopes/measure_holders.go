package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	holderScanners = 4 // daemons that scan the holder rows
	// holderPage is the number of rows that a daemon reads per scan call.
	holderPage = 500
)

// measureHolders measures the cost of a scan of the holder rows against their
// number. The added rows belong to stopped daemons, because each restart
// of a daemon leaves such a row in the table.
func measureHolders(ctx context.Context, s Settings, _ io.Writer) ([]Slope, error) {
	results := newSeries("row")
	f, err := startFleet(ctx, s.spec(fleetSpec{daemons: holderScanners, targets: 1}))
	defer f.stop()
	if err != nil {
		return nil, err
	}
	written := holderScanners
	for _, n := range s.HolderSizes {
		if err := f.addStoppedHolders(ctx, written, n); err != nil {
			return nil, err
		}
		written = n
		if err := sleep(ctx, s.Settle); err != nil {
			return nil, err
		}
		w, err := f.measureUsage(ctx, s.Window)
		if err != nil {
			return nil, err
		}
		addHolders(results, n, w)
	}
	return results.slopes(), nil
}

// addHolders records the cost per scan, because the time between scans also depends
// on the number of rows.
func addHolders(results *series, n int, w window) {
	pages := float64(n/holderPage + 1)
	scans := max(1, float64(w.calls.Reads["holder"])/pages)
	results.add("platform_bytes_per_holder_row_scanned", float64(n), w.platformBytes/scans)
	results.add("cpu_seconds_per_holder_row_scanned", float64(n), w.cpu.Seconds()/scans)
	results.add("holder_scans_per_second_per_daemon", float64(n), scans/w.seconds/holderScanners)
}

// addStoppedHolders writes the holder rows of the stopped daemons first to last-1.
func (f *fleet) addStoppedHolders(ctx context.Context, first, last int) error {
	for ; first < last; first += putsPerTxn {
		txn := storage.Txn{ID: fmt.Sprintf("slopes-holders-%d", first)}
		for i := first; i < min(first+putsPerTxn, last); i++ {
			record := lease.HolderRecord{
				Incarnation: fmt.Sprintf("host%d~0123456789ab", i), Host: fmt.Sprintf("host%d", i), PeerAddr: "127.0.0.1:1",
				Region: region(i), FailureDomain: failureDomain(i), Renewals: 1000, Stopped: true, BundleVersion: 1,
			}
			value, err := json.Marshal(record)
			if err != nil {
				return err
			}
			txn.Puts = append(txn.Puts, storage.Put{Key: lease.HolderKey(record.Incarnation), Value: value})
		}
		if _, err := f.platform.client.Commit(ctx, txn); err != nil {
			return fmt.Errorf("write holder rows: %w", err)
		}
	}
	return nil
}
