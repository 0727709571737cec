package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of tokens in one block of the prefix cache.
const blockTokens = 16

// prefixCache is an LRU cache of blocks of prompts. A block is identified by the
// hash of the prompt up to the end of the block.
type prefixCache struct {
	// capacity is the maximum number of blocks.
	capacity int
	// recency lists the blocks from the most to the least recently used.
	recency *list.List
	blocks  map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		capacity: tokens / blockTokens,
		recency:  list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// lookupAndInsert returns the number of tokens of the prompt and how many of its
// leading tokens were cached, and caches all its complete blocks. Each word counts as
// one token; an incomplete last block is never cached.
func (c *prefixCache) lookupAndInsert(prompt string) (tokens, cached int) {
	words := strings.Fields(prompt)
	digest := xxhash.New()
	leading := true
	for start := 0; start+blockTokens <= len(words); start += blockTokens {
		for _, word := range words[start : start+blockTokens] {
			_, _ = digest.WriteString(word)
			_, _ = digest.WriteString(" ")
		}
		hit := c.touch(digest.Sum64())
		leading = leading && hit
		if leading {
			cached += blockTokens
		}
	}
	return len(words), cached
}

// touch makes the block the most recently used, adds it if it is absent, evicts the
// least recently used block if the cache is full, and reports whether the block was
// cached.
func (c *prefixCache) touch(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.recency.MoveToFront(element)
		return true
	}
	if c.capacity == 0 {
		return false
	}
	if c.recency.Len() >= c.capacity {
		oldest := c.recency.Back()
		delete(c.blocks, c.recency.Remove(oldest).(uint64))
	}
	c.blocks[block] = c.recency.PushFront(block)
	return false
}
