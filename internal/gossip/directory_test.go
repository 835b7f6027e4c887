package gossip

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// Fifteen daemons that start with three seeds discover all members, each through a partial view. An
// update reaches all of them within a second.
func TestAllMembersDiscoveredThroughPartialViews(t *testing.T) {
	c := newTestCluster(15, 1)
	c.advance(3 * clock.Second)
	for _, name := range c.names {
		if known := len(c.nodes[name].Members()); known != 15 {
			t.Fatalf("%s knows %d of 15 members", name, known)
		}
		if size := len(c.nodes[name].view); size > Defaults().ViewSize {
			t.Fatalf("%s has %d peers in its partial view, more than ViewSize", name, size)
		}
	}
	c.do("d07", Publish{machine.Update{Key: "plan", Seq: 1, Value: []byte("x")}})
	c.advance(clock.Second)
	c.expectUpdateEverywhere(t, "plan")
}
