package routing

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the configuration. It is immutable and safe
// for concurrent use.
type Configuration struct {
	Version   int64
	Limits    Limits
	Customers []*Customer

	routes   map[string][]*Route // by host name, longest prefix first
	services map[string]*Service
	byKey    map[string]*Customer
}

// New checks and indexes a configuration. The error names every problem.
func New(version int64, routes []*Route, services []*Service, customers []*Customer, limits Limits) (*Configuration, error) {
	c := &Configuration{
		Version:   version,
		Limits:    limits,
		Customers: customers,
		routes:    make(map[string][]*Route),
		services:  make(map[string]*Service, len(services)),
		byKey:     make(map[string]*Customer),
	}
	var problems []error
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		problems = append(problems, c.check(r))
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, all := range c.routes {
		slices.SortStableFunc(all, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for _, customer := range customers {
		for _, key := range customer.Keys {
			c.byKey[key] = customer
		}
	}
	return c, errors.Join(problems...)
}

func (c *Configuration) check(r *Route) error {
	if len(r.Split) == 0 {
		return fmt.Errorf("route %q: no service", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("route %q: path prefix %q: must begin and end with a slash", r.Name, r.PathPrefix)
	}
	switch r.Kind {
	case Safe, Unsafe, Streaming:
	default:
		return fmt.Errorf("route %q: kind %q: allowed: safe, unsafe, streaming", r.Name, r.Kind)
	}
	for _, s := range r.Split {
		if c.services[s.Service] == nil {
			return fmt.Errorf("route %q: service %q is not in the configuration", r.Name, s.Service)
		}
	}
	return nil
}

// Match returns the route of a host name, with or without a port, and a path
// as it stands in the request line. It returns nil if there is none.
func (c *Configuration) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil if there is none.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Customer returns the holder of an API key, nil if nobody holds it.
func (c *Configuration) Customer(key string) *Customer { return c.byKey[key] }

// RequiresKey reports whether requests of routes that are not anonymous carry a key.
func (c *Configuration) RequiresKey() bool { return len(c.Customers) > 0 }
