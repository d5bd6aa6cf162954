// Package edge assembles a daemon that reads its configuration, targets and
// budgets from the store of a platform. It starts the components in order,
// reports the daemon as not ready until it can serve, and on shutdown completes
// open requests within the grace period.
package edge
