package replication

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
)

// A replica that takes over waits until the lease that it granted has expired.
func TestTakeoverWaitsForGrantedLease(t *testing.T) {
	c := newTestCluster("a", "b", "c")
	c.formGroup(t, 1, "a", "b")
	c.advance(clock.Second)
	a := c.members["a"]
	leaseEnd := a.groups.Group(testUnit).LeaseUntil()
	if leaseEnd <= c.now {
		t.Fatal("the primary has no lease")
	}
	delete(c.members, "a") // frozen
	c.members["b"].groups.BecomePrimary(testUnit, 2, []string{"c"}, c.now)
	c.awaitTakeover(t, c.members["b"], 2, leaseEnd)
	if a.groups.Group(testUnit).LeaseUntil() > c.now {
		t.Fatal("the former primary's lease is still valid after the takeover")
	}
}

// A member may have granted a lease right before it restarted, and does not know it any more: it
// takes over only once such a lease has expired.
func TestRestartedReplicaWaitsForLeaseItGranted(t *testing.T) {
	c := newTestCluster("a", "b", "c")
	c.formGroup(t, 1, "a", "b")
	c.advance(clock.Second)
	leaseEnd := c.members["a"].groups.Group(testUnit).LeaseUntil()
	successor := c.members["b"].restarted()
	c.members["b"] = successor
	delete(c.members, "a") // frozen: it can't release its lease
	successor.groups.Tick(c.now)
	successor.groups.BecomePrimary(testUnit, 2, []string{"c"}, c.now)
	c.awaitTakeover(t, successor, 2, leaseEnd)
}

// The primary's lease needs a grant from every replica: it expires when one of them is partitioned
// from the primary, and that replica is then reported as unreachable.
func TestLeaseNeedsEveryReplica(t *testing.T) {
	c := newTestCluster("a", "b", "c")
	c.formGroup(t, 1, "a", "b", "c")
	c.advance(clock.Second)
	group := c.members["a"].groups.Group(testUnit)
	if group.LeaseUntil() <= c.now {
		t.Fatal("the primary has no lease")
	}
	c.isCut = func(from, to string) bool { return (from == "c") != (to == "c") }
	c.advance(LeaseWait)
	if until := group.LeaseUntil(); until > c.now {
		t.Fatalf("the lease is valid until %d without c, now is %d", until, c.now)
	}
	c.advance(clock.Second)
	if unreachable := group.UnreachableReplicas(c.now); fmt.Sprint(unreachable) != "[c]" {
		t.Fatalf("unreachable replicas are %v, want [c]", unreachable)
	}
}
