package replication

import (
	"fmt"
	"testing"
)

// Any member recovers the confirmed entries from its disk, and is Idle afterwards.
func TestConfirmedEntriesAreRecoveredFromDisk(t *testing.T) {
	c := newTestCluster("a", "b")
	c.formGroup(t, 1, "a", "b")
	for i := 0; i < 3; i++ {
		c.members["a"].add(fmt.Sprint(i), c.now)
	}
	c.run()
	for name, member := range c.members {
		again := member.restarted()
		if fmt.Sprint(again.list) != "[0 1 2]" {
			t.Fatalf("%s recovered %v", name, again.list)
		}
		if role := again.groups.Group(testUnit).Role; role != Idle {
			t.Fatalf("%s has role %s after recovery", name, role)
		}
	}
}
