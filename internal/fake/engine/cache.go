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
	// maxEvents bounds the memory of cache events; a reader further behind meets a gap.
	maxEvents = 8192
)

// cache holds prompt prefixes by the hashes of their blocks, the longest unused
// ones dropped first.
type cache struct {
	maxBlocks int // in blocks
	dropEvery int
	lru       *list.List // of uint64, least recent first
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

// lookup counts the tokens of the prompt found, at least one less than the prompt:
// an engine has to read something to begin.
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

// store keeps a prompt's blocks and drops what is over the limit.
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

// eventsAfter returns the events behind a number that happened before a time.
func (c *cache) eventsAfter(seq int, until time.Time) []cacheEvent {
	out := []cacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(until) {
			out = append(out, e)
		}
	}
	return out
}
