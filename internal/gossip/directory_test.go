package gossip

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// Fifteen daemons that know three seeds come to know all, each through a partial view; an update
// reaches everyone within a second.
func TestAllMembersDiscoveredThroughPartialViews(t *testing.T) {
	c := newTestCluster(15, 1)
	c.advance(3 * clock.Second)
	for _, name := range c.names {
		if known := len(c.nodes[name].Members()); known != 15 {
			t.Fatalf("%s knows %d of 15", name, known)
		}
		if size := len(c.nodes[name].view); size > Defaults().ViewSize {
			t.Fatalf("%s has a view of %d, not a partial one", name, size)
		}
	}
	c.do("d07", Publish{machine.Update{Key: "plan", Seq: 1, Value: []byte("x")}})
	c.advance(clock.Second)
	c.expectUpdateEverywhere(t, "plan")
}
