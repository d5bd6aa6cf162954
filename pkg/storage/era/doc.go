// Package era keeps apart what a store has answered in different eras. A store that returns
// from an older copy begins a new era: what was written after the copy is gone, and its
// version numbers are given out again.
//
// Callers treat versions as opaque. A condition on a version of an earlier era does not
// hold, a feed from one has no history, and an answer of an earlier era than the newest
// known one is an error.
package era
