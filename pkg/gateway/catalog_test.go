package gateway

import (
	"strings"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// BundleCatalog implements Catalog for a bundle.
type BundleCatalog struct {
	customers map[string]bundle.Customer // by SHA-256 of the API key
	models    map[string]bundle.Service  // by model name
	services  map[string]bundle.Service
}

// NewCatalog returns the catalog of a bundle, which must not change afterwards.
func NewCatalog(b bundle.Bundle) *BundleCatalog {
	c := &BundleCatalog{
		customers: make(map[string]bundle.Customer),
		models:    make(map[string]bundle.Service),
		services:  make(map[string]bundle.Service),
	}
	for _, customer := range b.Customers {
		for _, hash := range customer.KeyHashes {
			c.customers[strings.ToLower(hash)] = customer
		}
	}
	for _, service := range b.Services {
		c.services[service.Name] = service
		if service.Model != "" {
			c.models[service.Model] = service
		}
	}
	return c
}

// CustomerByKey implements Catalog.
func (c *BundleCatalog) CustomerByKey(hash string) (bundle.Customer, bool) {
	customer, ok := c.customers[hash]
	return customer, ok
}

// ServiceByModel implements Catalog.
func (c *BundleCatalog) ServiceByModel(model string) (bundle.Service, bool) {
	service, ok := c.models[model]
	return service, ok
}

// Service implements Catalog.
func (c *BundleCatalog) Service(name string) (bundle.Service, bool) {
	service, ok := c.services[name]
	return service, ok
}
