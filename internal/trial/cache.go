package trial

import "github.com/fireflypath/fireflypath/internal/mix"

const blockTokens = mix.BlockTokens

// cache is a prefix cache with LRU eviction of blocks.
type cache struct {
	size    int
	index   map[uint64]int32
	entries []cacheEntry
	// head is the most recently used block, tail the least recently used one.
	head, tail int32
	free       []int32
}

type cacheEntry struct {
	hash       uint64
	prev, next int32
}

func newCache(size int) *cache {
	return &cache{size: size, index: make(map[uint64]int32), head: -1, tail: -1}
}

// cachedPrefix returns the number of leading blocks that are cached.
func (c *cache) cachedPrefix(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := c.index[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// store caches the blocks. It marks the first block as the most recently used one, so
// that prefixes are evicted from their end.
func (c *cache) store(hashes []uint64) (stored, dropped []uint64) {
	for i := min(len(hashes), c.size) - 1; i >= 0; i-- {
		h := hashes[i]
		if n, ok := c.index[h]; ok {
			c.unlink(n)
			c.pushFront(n)
			continue
		}
		stored = append(stored, h)
		if len(c.index) >= c.size {
			dropped = append(dropped, c.evict())
		}
		c.add(h)
	}
	return stored, dropped
}

func (c *cache) add(h uint64) {
	var n int32
	if k := len(c.free); k > 0 {
		n = c.free[k-1]
		c.free = c.free[:k-1]
	} else {
		c.entries = append(c.entries, cacheEntry{})
		n = int32(len(c.entries) - 1)
	}
	c.entries[n].hash = h
	c.index[h] = n
	c.pushFront(n)
}

func (c *cache) evict() uint64 {
	n := c.tail
	c.unlink(n)
	h := c.entries[n].hash
	delete(c.index, h)
	c.free = append(c.free, n)
	return h
}

func (c *cache) pushFront(n int32) {
	c.entries[n].prev, c.entries[n].next = -1, c.head
	if c.head >= 0 {
		c.entries[c.head].prev = n
	}
	c.head = n
	if c.tail < 0 {
		c.tail = n
	}
}

func (c *cache) unlink(n int32) {
	e := c.entries[n]
	if e.prev >= 0 {
		c.entries[e.prev].next = e.next
	} else {
		c.head = e.next
	}
	if e.next >= 0 {
		c.entries[e.next].prev = e.prev
	} else {
		c.tail = e.prev
	}
}
