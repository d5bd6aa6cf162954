// Package routing holds one immutable version of the routing configuration: routes
// by host name and path prefix, services, customers and their API keys.
package routing
