package gossip

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/membership"
)

// A daemon that can't be reached is suspected, then dead, and alive again when it is back.
func TestFailureAndRecovery(t *testing.T) {
	c := newTestCluster(9, 1)
	c.advance(3 * clock.Second)
	c.isolated["d04"] = true
	c.advance(8 * clock.Second)
	if got := c.statusOf(t, "d00", "d04"); got != membership.Dead {
		t.Fatalf("after 8 s of silence d04 is %s", got)
	}
	c.isolated["d04"] = false
	c.advance(8 * clock.Second)
	for _, name := range c.names {
		if got := c.statusOf(t, name, "d04"); got != membership.Alive {
			t.Fatalf("at %s d04 is %s after its return", name, got)
		}
	}
}

// A daemon that is itself cut off declares nobody dead: no indirect prober answers it.
func TestIsolatedDaemonSuspectsNobody(t *testing.T) {
	c := newTestCluster(9, 1)
	c.advance(3 * clock.Second)
	isolated := c.nodes["d05"]
	for end := c.now + 10*clock.Second; c.now < end; c.now += 20 * clock.Millisecond {
		isolated.Do(Tick{}, c.now)
	}
	for _, member := range isolated.Members() {
		if member.Status != membership.Alive {
			t.Fatalf("d05, alone, takes %s to be %s", member.ID, member.Status)
		}
	}
	if isolated.FreshUntil() > c.now-9*clock.Second {
		t.Fatal("d05 takes its updates for fresh")
	}
}
