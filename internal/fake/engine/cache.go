package engine

import (
	"container/list"
	"fmt"
	"time"
)

const (
	blockTokens = 64
	tokenBytes  = 4
	blockBytes  = blockTokens * tokenBytes
	// maxEvents limits the memory of cache events; a reader that is further behind sees
	// a gap in the sequence.
	maxEvents = 8192
)

// cache holds the block hashes of prompt prefixes and evicts the least recently used.
type cache struct {
	maxBlocks int
	dropEvery int
	lru       *list.List // of block hashes, least recently used first
	blocks    map[uint64]*list.Element
	seq       int
	events    []cacheEvent
}

type cacheEvent struct {
	Seq    int      `json:"seq"`
	Op     string   `json:"op"`
	Blocks []string `json:"blocks"`
	at     time.Time
}

func newCache(cfg Config) *cache {
	return &cache{
		maxBlocks: cfg.Cache / blockTokens,
		dropEvery: cfg.DropEvery,
		lru:       list.New(),
		blocks:    make(map[uint64]*list.Element),
	}
}

// lookup returns the number of cached prompt tokens, at most the prompt's length minus
// one: an engine has to process at least one token to start.
func (c *cache) lookup(blocks []uint64, prompt int) int {
	n := 0
	for _, b := range blocks {
		el, ok := c.blocks[b]
		if !ok {
			break
		}
		c.lru.MoveToBack(el)
		n += blockTokens
	}
	return max(0, min(n, prompt-1))
}

// store adds a prompt's blocks and evicts blocks above the limit.
func (c *cache) store(now time.Time, blocks []uint64) {
	var stored, dropped []string
	for _, b := range blocks[:min(len(blocks), c.maxBlocks)] {
		if el, ok := c.blocks[b]; ok {
			c.lru.MoveToBack(el)
			continue
		}
		c.blocks[b] = c.lru.PushBack(b)
		stored = append(stored, hexBlock(b))
	}
	for c.lru.Len() > c.maxBlocks {
		b := c.lru.Remove(c.lru.Front()).(uint64)
		delete(c.blocks, b)
		dropped = append(dropped, hexBlock(b))
	}
	c.appendEvent(now, "stored", stored)
	c.appendEvent(now, "dropped", dropped)
}

func hexBlock(b uint64) string {
	return fmt.Sprintf("%016x", b)
}

func (c *cache) appendEvent(now time.Time, op string, blocks []string) {
	if len(blocks) == 0 {
		return
	}
	c.seq++
	if c.dropEvery > 0 && c.seq%c.dropEvery == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Op: op, Blocks: blocks, at: now})
	if len(c.events) > maxEvents {
		c.events = append([]cacheEvent(nil), c.events[len(c.events)-maxEvents/2:]...)
	}
}

// eventsAfter returns the events after a sequence number that are not newer than until.
func (c *cache) eventsAfter(seq int, until time.Time) []cacheEvent {
	out := []cacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(until) {
			out = append(out, e)
		}
	}
	return out
}
