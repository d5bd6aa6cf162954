package daemon

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/gateway"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// bundleRetryAfter is the delay after which a caller may retry while this host has
// no usable bundle.
const bundleRetryAfter = 2 * time.Second

// catalogSource provides the gateway with the bundle in force.
type catalogSource struct {
	watcher *bundle.Watcher
}

// Current implements gateway.CatalogSource.
func (s catalogSource) Current() (gateway.Catalog, *verdict.Error) {
	index := s.watcher.Current()
	if index == nil {
		return nil, verdict.New(verdict.NotRun, verdict.NoBundle, "this host has not received a bundle yet").WithRetryAfter(bundleRetryAfter)
	}
	if s.watcher.Stale() {
		return nil, verdict.New(verdict.NotRun, verdict.StaleBundle, "this host cannot confirm that its bundle is the newest").WithRetryAfter(bundleRetryAfter)
	}
	return catalog{index}, nil
}

// catalog looks up customers and services in one bundle version.
type catalog struct {
	index *bundle.Index
}

// CustomerByKey implements gateway.Catalog.
func (c catalog) CustomerByKey(hash string) (bundle.Customer, bool) {
	return deref(c.index.CustomerByKeyHash(hash))
}

// ServiceByModel implements gateway.Catalog.
func (c catalog) ServiceByModel(model string) (bundle.Service, bool) {
	return deref(c.index.ServiceByModel(model))
}

// Service implements gateway.Catalog.
func (c catalog) Service(name string) (bundle.Service, bool) {
	return deref(c.index.Service(name))
}

// deref copies the result of a lookup.
func deref[T any](v *T, ok bool) (T, bool) {
	if !ok {
		var zero T
		return zero, false
	}
	return *v, true
}

// grantPolicy implements home.Policies.
func (d *Daemon) grantPolicy(customer string) (budget.Policy, bool) {
	index := d.watcher.Current()
	if index == nil {
		return budget.Policy{}, false
	}
	c, ok := index.Customer(customer)
	if !ok {
		return budget.Policy{}, false
	}
	return budget.Policy{
		Cover:     time.Duration(c.CoverSeconds) * time.Second,
		MinTokens: c.MinTokens,
		MaxShare:  c.MaxShare,
	}, true
}
