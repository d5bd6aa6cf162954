// Package replica is a stand-in of a target of the edge: it answers requests and
// event streams in a given dialect, checks for whom a request is meant, and fails
// in the ways of real targets.
package replica
