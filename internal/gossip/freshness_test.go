package gossip

import (
	"testing"

	"tuliprudder/internal/clock"
)

// The updates of daemons in a partitioned zone do not stay fresh, although these daemons reach each
// other. In the other zones they do.
func TestPartitionedZoneIsNotFresh(t *testing.T) {
	c := newTestCluster(9, 3)
	c.advance(3 * clock.Second)
	isPartitioned := func(name string) bool { return c.nodes[name].self.Zone == "0" }
	c.partitioned = func(a, b string) bool { return isPartitioned(a) != isPartitioned(b) }
	c.advance(4 * clock.Second)
	for _, name := range c.names {
		age := c.now - c.nodes[name].FreshUntil()
		if isStale := age > 2500*clock.Millisecond; isStale != isPartitioned(name) {
			t.Errorf("%s, in the partitioned zone %v: its updates are %d us old", name, isPartitioned(name), age)
		}
	}
}
