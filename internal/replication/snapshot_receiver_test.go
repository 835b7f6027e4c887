package replication

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
)

// A replica that has the primary's state adopts the new epoch without a snapshot, and reads the
// same back; one that has anything else is sent the whole.
func TestReplicaWithSameStateNeedsNoSnapshot(t *testing.T) {
	for _, behind := range []bool{false, true} {
		t.Run(fmt.Sprintf("behind %v", behind), func(t *testing.T) {
			c := newTestCluster("a", "b", "c")
			c.formGroup(t, 1, "a", "b", "c")
			c.members["a"].add("one", c.now)
			c.advance(clock.Second)
			if behind {
				c.isCut = func(_, to string) bool { return to == "c" }
				c.members["a"].add("two", c.now)
				c.run()
				c.isCut = nil
			}
			replica := c.members["c"]
			before := len(replica.disk)
			c.formGroup(t, 2, "b", "c")
			if kind := replica.disk[before].Kind; (kind == KindSnapshot) != behind {
				t.Fatalf("c wrote a record of kind %s", kind)
			}
			again := replica.restarted()
			want := c.members["b"].list
			if fmt.Sprint(again.list) != fmt.Sprint(want) || again.groups.Group(testUnit).Epoch != 2 {
				t.Fatalf("c reads %v of epoch %d back, b has %v", again.list, again.groups.Group(testUnit).Epoch, want)
			}
		})
	}
}
