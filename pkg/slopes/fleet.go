package slopes

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// fleetSpec holds the parameters of a fleet.
type fleetSpec struct {
	binary      string
	daemons     int
	targets     int
	budgets     int
	customers   int
	tokenTime   time.Duration // time per token of the targets
	startSpread time.Duration // period over which the starts of the daemons are spread
	extraArgs   []string      // further flags of each daemon
}

// fleet is a running system: stand-ins in this process and daemon processes.
type fleet struct {
	spec      fleetSpec
	platform  *platformServer
	targets   *targetSet
	operator  *operator
	daemons   []*daemonProcess
	version   uint64       // version of the newest bundle
	peerBytes atomic.Int64 // bytes transferred between daemons
}

const (
	bundleTimeout = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
	// regions and failureDomains are the numbers of regions and failure domains
	// in the design size.
	regions        = 2
	failureDomains = 4
)

// region returns the region of the i-th daemon.
func region(i int) string { return fmt.Sprintf("region-%d", i%regions) }

// failureDomain returns the failure domain of the i-th daemon.
func failureDomain(i int) string { return fmt.Sprintf("domain-%d", i%failureDomains) }

// startFleet starts a fleet and waits until its first bundle is in force on every
// daemon. The caller has to stop the fleet, also after an error.
func startFleet(ctx context.Context, spec fleetSpec) (*fleet, error) {
	f := &fleet{spec: spec, targets: &targetSet{tokenTime: spec.tokenTime}}
	var err error
	if f.platform, err = newPlatformServer(); err != nil {
		return f, err
	}
	if f.operator, err = newOperator(f.platform.client); err != nil {
		return f, err
	}
	if err := f.targets.startUpTo(ctx, f.platform, spec.targets); err != nil {
		return f, err
	}
	if err := f.operator.createBudgets(ctx, 0, max(1, spec.budgets)); err != nil {
		return f, err
	}
	if err := f.startUpTo(ctx, spec.daemons); err != nil {
		return f, err
	}
	_, err = f.newBundle(ctx)
	return f, err
}

// startUpTo starts daemons until there are n. The starts are spread over
// spec.startSpread.
func (f *fleet) startUpTo(ctx context.Context, n int) error {
	first := len(f.daemons)
	for i := first; i < n; i++ {
		d, err := startDaemon(daemonSpec{
			binary: f.spec.binary, index: i, platformURL: f.platform.daemonURL, operator: f.operator.bootstrapSetting(),
			peerBytes: &f.peerBytes, extraArgs: f.spec.extraArgs,
		})
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		if err := sleep(ctx, f.spec.startSpread/time.Duration(n-first)); err != nil {
			return err
		}
	}
	for _, d := range f.daemons[first:] {
		if err := d.awaitStart(); err != nil {
			return err
		}
	}
	return nil
}

// newBundle submits a new bundle and returns, for each daemon, the time from the
// submission until the bundle was in force there.
func (f *fleet) newBundle(ctx context.Context) ([]time.Duration, error) {
	begin := time.Now()
	version, err := f.operator.activateBundle(ctx, f.version, f.spec.budgets, f.spec.customers)
	if err != nil {
		return nil, err
	}
	f.version = version
	return f.awaitBundle(ctx, begin)
}

func (f *fleet) awaitBundle(ctx context.Context, begin time.Time) ([]time.Duration, error) {
	var taken []time.Duration
	for _, d := range f.daemons {
		for d.inForce(f.version).IsZero() {
			if time.Since(begin) > bundleTimeout {
				return nil, fmt.Errorf("bundle %d is not in force on %s after %s", f.version, d.name, bundleTimeout)
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return nil, err
			}
		}
		taken = append(taken, d.inForce(f.version).Sub(begin))
	}
	return taken, nil
}

// stop kills all daemons concurrently, then closes the stand-ins.
func (f *fleet) stop() {
	done := make(chan struct{}, len(f.daemons))
	for _, d := range f.daemons {
		go func() {
			d.stop()
			done <- struct{}{}
		}()
	}
	for range f.daemons {
		<-done
	}
	f.targets.close()
	if f.platform != nil {
		f.platform.close()
	}
}

// sleep waits for d. It returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Join(ctx.Err(), context.Cause(ctx))
	}
}

// bundleBytes returns the size of the newest bundle in bytes, 0 if it cannot be read.
func (f *fleet) bundleBytes(ctx context.Context) float64 {
	rows, err := f.platform.client.Get(ctx, bundle.VersionKey(f.version))
	if err != nil {
		return 0
	}
	return float64(len(rows[0].Value))
}
