package trial

import "github.com/fireflypath/fireflypath/internal/mix"

const block = mix.BlockTokens

// cache is a prefix cache that drops the block used least recently.
type cache struct {
	size  int
	at    map[uint64]int32
	nodes []node
	// head is the block used last, tail the next to be dropped.
	head, tail int32
	free       []int32
}

type node struct {
	hash       uint64
	prev, next int32
}

func newCache(size int) *cache {
	return &cache{size: size, at: make(map[uint64]int32), head: -1, tail: -1}
}

// find is the number of leading blocks that are cached.
func (c *cache) find(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := c.at[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// store caches the blocks, the first as the last to be dropped.
func (c *cache) store(hashes []uint64) (stored, dropped []uint64) {
	for i := min(len(hashes), c.size) - 1; i >= 0; i-- {
		h := hashes[i]
		if n, ok := c.at[h]; ok {
			c.unlink(n)
			c.front(n)
			continue
		}
		stored = append(stored, h)
		if len(c.at) >= c.size {
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
		c.nodes = append(c.nodes, node{})
		n = int32(len(c.nodes) - 1)
	}
	c.nodes[n].hash = h
	c.at[h] = n
	c.front(n)
}

func (c *cache) evict() uint64 {
	n := c.tail
	c.unlink(n)
	h := c.nodes[n].hash
	delete(c.at, h)
	c.free = append(c.free, n)
	return h
}

func (c *cache) front(n int32) {
	c.nodes[n].prev, c.nodes[n].next = -1, c.head
	if c.head >= 0 {
		c.nodes[c.head].prev = n
	}
	c.head = n
	if c.tail < 0 {
		c.tail = n
	}
}

func (c *cache) unlink(n int32) {
	e := c.nodes[n]
	if e.prev >= 0 {
		c.nodes[e.prev].next = e.next
	} else {
		c.head = e.next
	}
	if e.next >= 0 {
		c.nodes[e.next].prev = e.prev
	} else {
		c.tail = e.prev
	}
}
