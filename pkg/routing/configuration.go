package routing

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits are the configured limits for requests and connections of callers.
type Limits struct {
	HeaderBytes   int           // maximum size of a request header in bytes
	BodyBytes     int64         // maximum size of a request body in bytes; 0: the default of package forward
	HeaderTimeout time.Duration // longest time until a request header is received completely
	IdleTimeout   time.Duration // longest time that a connection may be idle between two requests
}

// Configuration is one version of the routing configuration. It is immutable and
// safe for concurrent use.
type Configuration struct {
	Version   int64
	Limits    Limits
	Customers []*Customer

	routes         map[string][]*Route // by lower-case host name; longest path prefix first
	services       map[string]*Service // by name
	customersByKey map[string]*Customer
}

// New validates and indexes a configuration. The error joins the problems of all
// routes.
func New(version int64, routes []*Route, services []*Service, customers []*Customer, limits Limits) (*Configuration, error) {
	c := &Configuration{
		Version:        version,
		Limits:         limits,
		Customers:      customers,
		routes:         make(map[string][]*Route),
		services:       make(map[string]*Service, len(services)),
		customersByKey: make(map[string]*Customer),
	}
	var problems []error
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		problems = append(problems, c.validateRoute(r))
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, sameHost := range c.routes {
		slices.SortStableFunc(sameHost, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for _, customer := range customers {
		for _, key := range customer.Keys {
			c.customersByKey[key] = customer
		}
	}
	return c, errors.Join(problems...)
}

// validateRoute returns the first problem of a route, nil if it is valid.
func (c *Configuration) validateRoute(r *Route) error {
	if len(r.Split) == 0 {
		return fmt.Errorf("route %q has no service", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("route %q: path prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	}
	switch r.Kind {
	case Safe, Unsafe, Streaming:
	default:
		return fmt.Errorf("route %q: kind %q must be safe, unsafe or streaming", r.Name, r.Kind)
	}
	for _, s := range r.Split {
		if c.services[s.Service] == nil {
			return fmt.Errorf("route %q: service %q is not in the configuration", r.Name, s.Service)
		}
	}
	return nil
}

// Match returns the route for a host name, with or without a port, and an undecoded
// path. It returns nil if there is none.
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

// RouteNamed returns the route with a name, nil if there is none.
func (c *Configuration) RouteNamed(name string) *Route {
	for _, sameHost := range c.routes {
		for _, r := range sameHost {
			if r.Name == name {
				return r
			}
		}
	}
	return nil
}

// Service returns a service by name, nil if there is none.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Customer returns the customer that owns an API key, nil if there is none.
func (c *Configuration) Customer(key string) *Customer { return c.customersByKey[key] }

// RequiresKey reports whether requests of routes that are not anonymous need an API
// key. They do if there are customers.
func (c *Configuration) RequiresKey() bool { return len(c.Customers) > 0 }
