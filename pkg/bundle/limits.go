package bundle

import "time"

// BundlePoll is how often a daemon reads the bundle head. 340 daemons polling
// every 2 s cost 170 reads per second of the table's two thousand.
const BundlePoll = 2 * time.Second

// MaxBytes is the size limit of an encoded bundle with its signatures, in bytes.
const MaxBytes = 4 << 20

// Ranges of fields.
const (
	MaxIDLength         = 64 // characters
	MaxOperators        = 64
	HighestPriority     = 9
	MaxCoverSeconds     = 24 * 60 * 60
	MaxMinTokens        = int64(1_000_000_000_000)
	MaxOutputTokens     = int64(1 << 20)
	MaxCallCost         = int64(1 << 30) // tokens
	MaxSlowStartSeconds = 60 * 60
	MaxStaleSeconds     = 7 * 24 * 60 * 60
	maxBase             = uint64(1) << 53 // largest integer that every JSON reader keeps exact
	keyHashDigits       = 64              // SHA-256 in hex
)

// Defaults of fields that are zero or empty.
const (
	DefaultStalePolicy  = ServeStale
	DefaultStaleSeconds = 300
	DefaultCoverSeconds = 60
	DefaultMinTokens    = int64(10_000)
	DefaultMaxShare     = 0.25
	DefaultMaxOutput    = int64(4096)
	DefaultSlowStart    = 10 // seconds
)
