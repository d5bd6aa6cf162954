package sharedread

import "errors"

// Reasons for which a reader gives no answer that can be used.
var (
	errNoCopy      = errors.New("this host has no copy of the table yet")
	errInvalidCopy = errors.New("the reader could not apply a change of the table")
	errBusy        = errors.New("the reader sends copies of the table to many other hosts")
	errStale       = errors.New("the store has not confirmed the reader's copy recently")
	errLagging     = errors.New("the reader's copy is older than what this host knows")
	errEarlierEra  = errors.New("the reader's copy is of an earlier era of the store")
)
