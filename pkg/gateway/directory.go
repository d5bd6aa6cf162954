package gateway

import (
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Directory gives access to the bundle in force.
type Directory interface {
	// Current returns the lookups of the bundle in force. It refuses with
	// NoBundle before the first one and with StaleBundle when the bundle's
	// policy forbids to serve with an unconfirmed version.
	Current() (Catalog, *verdict.Error)
}

// Catalog looks up customers and services in one version of the bundle. It
// does not change, so that one request sees one version.
type Catalog interface {
	// CustomerByKey returns the customer of an API key by the key's SHA-256 in lower-case hex.
	CustomerByKey(hash string) (bundle.Customer, bool)
	// ServiceByModel returns the service of a model name.
	ServiceByModel(model string) (bundle.Service, bool)
	// Service returns a service by its name.
	Service(name string) (bundle.Service, bool)
}
