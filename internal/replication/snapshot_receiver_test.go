package replication

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
)

// A replica that has the primary's state adopts it under the new epoch without a snapshot, and
// recovers the same state from disk. A replica with any other state receives the full snapshot.
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
				t.Fatalf("c recovered %v of epoch %d, b has %v", again.list, again.groups.Group(testUnit).Epoch, want)
			}
		})
	}
}
