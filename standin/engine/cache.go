package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the size of a block of the prefix cache.
const blockTokens = 16

// prefixCache remembers the blocks of prompts, least recently used out
// first. A block is named by the hash of the prompt up to its end.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		capacity: tokens / blockTokens,
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// use returns how many leading tokens of the prompt are cached, and caches
// all of its whole blocks.
func (c *prefixCache) use(prompt string) (tokens, cached int) {
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

// touch marks the block as used and reports whether it was cached.
func (c *prefixCache) touch(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.order.MoveToFront(element)
		return true
	}
	if c.capacity == 0 {
		return false
	}
	if c.order.Len() >= c.capacity {
		oldest := c.order.Back()
		delete(c.blocks, c.order.Remove(oldest).(uint64))
	}
	c.blocks[block] = c.order.PushFront(block)
	return false
}
