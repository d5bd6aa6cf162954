// Package nexthop chooses another host for a request that this host cannot serve itself, and
// bounds the requests that a host serves for others.
//
// It does no I/O. What it knows of other hosts comes from their announcements and from their
// answers to forwarded requests; both expire, so that a host whose path is back is used again. A host that reaches no other one, as its link is
// full or cut, offers them a request now and then only.
package nexthop
