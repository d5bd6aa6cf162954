package engine

import "time"

// BlockChange tells what happened to a cache block.
type BlockChange string

// Changes of a cache block.
const (
	BlockStored  BlockChange = "stored"
	BlockRemoved BlockChange = "removed"
)

// CacheEvent is one published change of the prefix cache. Sequence numbers
// have gaps where events were lost.
type CacheEvent struct {
	Seq   int         `json:"seq"` // from 1
	Type  BlockChange `json:"type"`
	Block string      `json:"block"` // hash of the prompt up to the end of the block
	At    time.Time   `json:"at"`
}

// CacheEvents is the answer to GET /v1/cache/events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}
