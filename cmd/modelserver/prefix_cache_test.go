package main

import "testing"

// The least recently used prefix is evicted first, and a cache of capacity 0 holds nothing.
func TestPrefixCache(t *testing.T) {
	c := &prefixCache{limit: 2}
	for _, step := range []struct {
		prefix string
		hit    bool
	}{{"a", false}, {"b", false}, {"a", true}, {"c", false}, {"b", false}, {"c", true}, {"a", false}} {
		if hit := c.use(step.prefix); hit != step.hit {
			t.Fatalf("prefix %s: got hit %v; cache contents: %v", step.prefix, hit, c.prefixes)
		}
	}
	none := &prefixCache{}
	for range 2 {
		if none.use("a") {
			t.Error("got a hit in a cache of capacity 0")
		}
	}
}
