package replication

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
)

// Each message of a run is dropped, duplicated or delayed, one message per run: in the end all members
// have the same list, and every entry is confirmed once and in order.
func TestAnySingleMessageDroppedDuplicatedOrDelayed(t *testing.T) {
	run := func(t *testing.T, number int, fault messageFault, replicas []string) *testCluster {
		t.Helper()
		c := newTestCluster(append([]string{"a"}, replicas...)...)
		c.injectFault(number, fault)
		c.formGroup(t, 1, "a", replicas...)
		for i := 0; i < 5; i++ {
			if !c.members["a"].add(fmt.Sprint(i), c.now) {
				t.Fatalf("message %d, %s: the primary is not serving", number, fault)
			}
			if i%2 == 0 {
				c.run()
			}
		}
		c.advance(clock.Second)
		c.deliverDelayed()
		c.advance(clock.Second)
		return c
	}
	for _, replicas := range [][]string{{"b"}, {"b", "c"}} {
		t.Run(fmt.Sprintf("%d replicas", len(replicas)), func(t *testing.T) {
			total := run(t, 0, noFault, replicas).messageCount
			if total < 12*len(replicas) {
				t.Fatalf("only %d messages to inject faults into", total)
			}
			for number := 1; number <= total; number++ {
				for _, fault := range messageFaults {
					c := run(t, number, fault, replicas)
					for name, member := range c.members {
						if fmt.Sprint(member.list) != "[0 1 2 3 4]" {
							t.Fatalf("message %d, %s: %s has %v", number, fault, name, member.list)
						}
					}
					if confirmed := c.members["a"].confirmed; fmt.Sprint(confirmed) != "[1 2 3 4 5]" {
						t.Fatalf("message %d, %s: confirmed %v", number, fault, confirmed)
					}
				}
			}
		})
	}
}

// A deposed primary that does not know of its successor confirms nothing, because its replica rejects
// its epoch.
func TestDeposedPrimaryConfirmsNothing(t *testing.T) {
	c := newTestCluster("a", "b", "c")
	c.formGroup(t, 1, "a", "b")
	c.members["b"].groups.BecomePrimary(testUnit, 2, []string{"c"}, c.now)
	if !c.members["a"].add("stray", c.now) {
		t.Fatal("the former primary already knows that it was deposed, so the test does not cover the case")
	}
	c.advance(4 * clock.Second)
	if a := c.members["a"]; len(a.confirmed) != 0 || a.deposed != 1 {
		t.Fatalf("the former primary confirmed %v and was deposed %d times", a.confirmed, a.deposed)
	}
	if list := c.members["c"].list; len(list) != 0 {
		t.Fatalf("the former primary's entry reached the new group: %v", list)
	}
}

// An entry is confirmed once every replica has it, not just one of them. With the injected fault
// SkipLastReplica one replica suffices, which shows that the test detects the violation.
func TestEntryIsConfirmedOnceEveryReplicaHasIt(t *testing.T) {
	for _, injected := range []bool{false, true} {
		t.Run(fmt.Sprintf("SkipLastReplica %v", injected), func(t *testing.T) {
			c := newTestCluster("a", "b", "c")
			c.formGroup(t, 1, "a", "b", "c")
			a := c.members["a"]
			a.groups.InjectedFaults.SkipLastReplica = injected
			c.isCut = func(_, to string) bool { return to == "c" }
			a.add("x", c.now)
			c.advance(500 * clock.Millisecond)
			if confirmed := len(a.confirmed) > 0; confirmed != injected {
				t.Fatalf("confirmed %v though c lacks it", a.confirmed)
			}
		})
	}
}
