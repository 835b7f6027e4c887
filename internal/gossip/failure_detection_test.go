package gossip

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// An unreachable daemon is suspected, then declared dead, and alive again after it returns.
func TestFailureAndRecovery(t *testing.T) {
	c := newTestCluster(9, 1)
	c.advance(3 * clock.Second)
	c.isolated["d04"] = true
	c.advance(8 * clock.Second)
	if got := c.statusOf(t, "d00", "d04"); got != membership.Dead {
		t.Fatalf("d04 is %s after 8 s without contact", got)
	}
	c.isolated["d04"] = false
	c.advance(8 * clock.Second)
	for _, name := range c.names {
		if got := c.statusOf(t, name, "d04"); got != membership.Alive {
			t.Fatalf("at %s, d04 is %s 8 s after its return", name, got)
		}
	}
}

// A daemon that is itself isolated suspects nobody, because no indirect prober answers it, and its
// updates do not stay fresh.
func TestIsolatedDaemonSuspectsNobody(t *testing.T) {
	c := newTestCluster(9, 1)
	c.advance(3 * clock.Second)
	isolated := c.nodes["d05"]
	for end := c.now + 10*clock.Second; c.now < end; c.now += 20 * clock.Millisecond {
		isolated.Do(Tick{}, c.now)
	}
	for _, member := range isolated.Members() {
		if member.Status != membership.Alive {
			t.Fatalf("the isolated d05 considers %s %s", member.ID, member.Status)
		}
	}
	if isolated.FreshUntil() > c.now-9*clock.Second {
		t.Fatal("the updates of the isolated d05 count as fresh")
	}
}

// However many members are dead, a dead voter is contacted at every joinInterval: a daemon that was
// partitioned from all voters finds them again while they are still at their addresses.
func TestDeadVoterContactedEveryJoinInterval(t *testing.T) {
	n := New(membership.Member{ID: "e", Kind: membership.Edge, Peer: "e", Zone: "z"}, nil, settingsWithVoters(), 1)
	var updates []machine.Update
	for _, id := range []string{"v1", "v2", "v3", "o1", "o2", "o3", "o4", "o5", "o6", "o7"} {
		member := membership.Member{ID: id, Kind: membership.Core, Peer: id, Zone: "z", Incarnation: 1}
		updates = append(updates, memberUpdate(member))
		member.Status, member.Statement = membership.Dead, 1
		updates = append(updates, memberUpdate(member))
	}
	updates = append(updates, machine.Update{Key: votersKey, Seq: 1, Value: []byte(`{"v1":2,"v2":2,"v3":2}`)})
	now := 10 * clock.Second
	n.Do(Message{From: "x", Body: Gossip{Updates: updates}}, now)
	contacted := map[string]int{}
	const rounds = 12
	for range rounds {
		now += joinInterval
		for _, effect := range n.Do(Tick{}, now) {
			if send, ok := effect.(machine.Send); ok {
				if _, isDigest := send.Body.(Digest); isDigest {
					contacted[send.To]++
				}
			}
		}
	}
	if voters := contacted["v1"] + contacted["v2"] + contacted["v3"]; voters != rounds {
		t.Errorf("voters were contacted %d times in %d rounds: %v", rounds, voters, contacted)
	}
}
