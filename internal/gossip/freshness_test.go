package gossip

import (
	"testing"

	"tuliprudder/internal/clock"
)

// The daemons of a zone that is cut off don't take their updates for fresh, though they reach each
// other; the other zones go on.
func TestPartitionedZoneIsNotFresh(t *testing.T) {
	c := newTestCluster(9, 3)
	c.advance(3 * clock.Second)
	isPartitioned := func(name string) bool { return c.nodes[name].self.Zone == "0" }
	c.partitioned = func(a, b string) bool { return isPartitioned(a) != isPartitioned(b) }
	c.advance(4 * clock.Second)
	for _, name := range c.names {
		age := c.now - c.nodes[name].FreshUntil()
		if isStale := age > 2500*clock.Millisecond; isStale != isPartitioned(name) {
			t.Errorf("%s, in the cut zone %v: its updates are %d us old", name, isPartitioned(name), age)
		}
	}
}
