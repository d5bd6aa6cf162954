// Package rowstore is an in-memory stand-in for a partitioned transactional table
// service. It injects the faults of a real one: it is unreachable for some hosts,
// refuses calls, loses replies, applies transactions late, responds slowly and
// drops the history of its feeds.
package rowstore
