package gateway

import (
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// CatalogSource provides the catalog of the bundle in force.
type CatalogSource interface {
	// Current returns the catalog of the bundle in force. It refuses with NoBundle
	// before the first bundle was received, and with StaleBundle when the bundle's
	// policy forbids serving with a version that is not confirmed as the newest.
	Current() (Catalog, *verdict.Error)
}

// Catalog looks up customers and services in one version of the bundle. It is
// immutable, so that a request uses the same version throughout.
type Catalog interface {
	// CustomerByKey returns the customer that owns an API key. The hash is the
	// SHA-256 of the key in lower-case hex.
	CustomerByKey(hash string) (bundle.Customer, bool)
	// ServiceByModel returns the service that serves a model.
	ServiceByModel(model string) (bundle.Service, bool)
	// Service returns the service with this name.
	Service(name string) (bundle.Service, bool)
}
