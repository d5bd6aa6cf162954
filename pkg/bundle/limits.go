package bundle

import "time"

// DefaultPollInterval is the default time between two reads of the bundle head. A fleet
// of 340 daemons then causes 170 of the 2000 reads per second that the table
// supports.
const DefaultPollInterval = 2 * time.Second

// MaxBytes is the size limit, in bytes, of an encoded bundle including its signatures.
const MaxBytes = 4 << 20

// Upper limits of bundle fields.
const (
	MaxIDLength         = 64 // characters
	MaxOperators        = 64 // operators per bundle
	HighestPriority     = 9
	MaxCoverSeconds     = 24 * 60 * 60
	MaxMinTokens        = int64(1_000_000_000_000) // upper limit of Customer.MinTokens, in tokens
	MaxOutputTokens     = int64(1 << 20)
	MaxCallCost         = int64(1 << 30) // tokens
	MaxSlowStartSeconds = 60 * 60
	MaxStaleSeconds     = 7 * 24 * 60 * 60
	maxBase             = uint64(1) << 53 // largest integer up to which every JSON decoder represents integers exactly
	keyHashDigits       = 64              // length of a SHA-256 in hex
)

// Defaults for bundle fields that are zero or empty.
const (
	DefaultStalePolicy  = ServeStale
	DefaultStaleSeconds = 300
	DefaultCoverSeconds = 60
	DefaultMinTokens    = int64(10_000) // tokens
	DefaultMaxShare     = 0.25
	DefaultMaxOutput    = int64(4096) // tokens
	DefaultSlowStart    = 10          // seconds
)
