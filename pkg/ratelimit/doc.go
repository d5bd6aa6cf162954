// Package ratelimit keeps the requests that all hosts together send to a target within the
// rate that the target names in its answers.
//
// It answers the load of targets in need, at which each host sees only its own requests. Before
// a host sends a request to a target with a limit, it gets a permit from one of the target's
// issuers. The issuers of a target are at most maxIssuers hosts, chosen by rendezvous hashing
// from the running hosts, and each issues an equal part of the rate from a token bucket of its
// own. So no host has a fixed part of the rate that is too small for a request or unused, and a
// host that is cut off or dies stops only its part. Hosts that do not agree on the running hosts
// for a moment take at most one issuer too many for each difference.
//
// A host that cannot reach any issuer of a target sends it nothing. Hosts tell each other of
// limits that begin and end; a permit call carries what both sides know.
package ratelimit
