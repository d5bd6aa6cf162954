// Package watch keeps a copy of a table up to date: one scan, then the feed of
// changes, and another scan when the feed has lost its history.
//
// It answers a store that is slow, unreachable, or forgets its history, and
// connections that go silent: each call has a deadline of its own, and a scan
// that is older than what is already known is not taken over.
package watch
