package engine

import "time"

// BlockChange is the kind of a change of a cache block.
type BlockChange string

// Kinds of changes of a cache block.
const (
	BlockStored  BlockChange = "stored"
	BlockRemoved BlockChange = "removed"
)

// CacheEvent is one published change of the prefix cache. Sequence numbers
// have gaps where events were lost.
type CacheEvent struct {
	Seq   int         `json:"seq"` // sequence number, from 1
	Type  BlockChange `json:"type"`
	Block string      `json:"block"` // hash of the prompt up to the end of the block
	At    time.Time   `json:"at"`
}

// CacheEvents is the response to GET /v1/cache/events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}
