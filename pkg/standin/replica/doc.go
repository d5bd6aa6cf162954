// Package replica is a stand-in for a target that the edge forwards requests to. It
// serves plain responses and event streams with the header names of a given
// dialect.Dialect, rejects requests that are addressed to another replica, and injects
// failures of real targets.
package replica
