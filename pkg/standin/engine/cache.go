package engine

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
)

// BlockTokens is the number of prompt tokens in one cache block.
const BlockTokens = 16

const (
	blockBytes      = BlockTokens * bytesPerToken
	blockHashDigits = 16 // hexadecimal digits of a block hash
)

// cache is the prefix cache: an LRU cache of prompt blocks, each identified by
// a hash of the prompt up to the end of the block.
type cache struct {
	limit  int        // maximum number of blocks
	order  *list.List // block hashes (string), most recently used first
	blocks map[string]*list.Element
	log    *cacheLog
}

// newCache returns an empty cache of limit blocks that records its changes in log.
func newCache(limit int, log *cacheLog) *cache {
	return &cache{limit: limit, order: list.New(), blocks: make(map[string]*list.Element), log: log}
}

// lookUpAndStore looks up the complete blocks of a prompt, stores the missing ones
// and returns the number of prompt tokens that the longest cached prefix covers.
func (c *cache) lookUpAndStore(prompt string) int {
	hashes := blockHashes(prompt)
	hit := 0
	for hit < len(hashes) && c.touch(hashes[hit]) {
		hit++
	}
	for _, h := range hashes[hit:] {
		c.store(h)
	}
	return hit * BlockTokens
}

// touch marks a block as used and reports whether it is cached.
func (c *cache) touch(hash string) bool {
	element, ok := c.blocks[hash]
	if ok {
		c.order.MoveToFront(element)
	}
	return ok
}

// store adds a block and evicts the least recently used one beyond the limit.
func (c *cache) store(hash string) {
	if c.touch(hash) {
		return
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.log.add(BlockStored, hash)
	if c.order.Len() <= c.limit {
		return
	}
	oldest := c.order.Remove(c.order.Back()).(string)
	delete(c.blocks, oldest)
	c.log.add(BlockRemoved, oldest)
}

// blockHashes returns the hash of each prefix of a prompt that ends at a complete
// block.
func blockHashes(prompt string) []string {
	h := sha256.New()
	var hashes []string
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		h.Write([]byte(prompt[:blockBytes]))
		hashes = append(hashes, hex.EncodeToString(h.Sum(nil))[:blockHashDigits])
	}
	return hashes
}
