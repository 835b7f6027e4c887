package main

import (
	"slices"
	"sync"
)

// prefixCache is an LRU cache of the prompt prefixes that need no prefill.
type prefixCache struct {
	limit    int
	mu       sync.Mutex
	prefixes []string // least recently used first; guarded by mu
}

// use reports whether a prefix was cached, adds it if not, and marks it as most recently used.
func (c *prefixCache) use(prefix string) (hit bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
		hit = true
	}
	c.prefixes = append(c.prefixes, prefix)
	if len(c.prefixes) > c.limit {
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	return hit
}
