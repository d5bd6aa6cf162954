// Package edge joins the parts of a daemon that takes its configuration, its
// targets and its budgets from a platform's store: it starts them in order, keeps
// the daemon out of service until it can serve, and stops it without cutting off
// a request.
package edge
