// Package routing holds one version of the routing configuration: routes by
// host name and path prefix, services, customers and their API keys. A
// Configuration does not change once it is built.
package routing
