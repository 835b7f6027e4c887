package batchstore

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/machine"
)

// lastHeartbeat returns the last heartbeat in a list of effects, or nil if there is none.
func lastHeartbeat(effects []machine.Effect) *registration.Heartbeat {
	var last *registration.Heartbeat
	for _, effect := range effects {
		if send, ok := effect.(machine.Send); ok {
			if heartbeat, ok := send.Body.(registration.Heartbeat); ok {
				last = &heartbeat
			}
		}
	}
	return last
}

func TestHeartbeatCarriesTheOperatorsName(t *testing.T) {
	s := newStore(Self{ID: "s", Zone: "z", Peer: "p", Incarnation: 1, Name: "machine"})
	s.Do(CorePeers{Peers: []string{"c"}}, 1000)
	heartbeat := lastHeartbeat(s.Do(Tick{}, clock.Second))
	if heartbeat == nil || heartbeat.Name != "machine" || heartbeat.ID != "s" {
		t.Fatalf("the heartbeat is %+v", heartbeat)
	}
}

// A heartbeat lists a shard as busy while the shard has an open batch.
func TestHeartbeatListsBusyShards(t *testing.T) {
	c := newCluster(t)
	busy := func() int { return len(c.stores["a"].heartbeat(c.now).Busy) }
	c.mustCall(forwardedBatch("one", 1))
	if got := busy(); got != 1 {
		t.Fatalf("%d shards are busy while the batch is open, want 1", got)
	}
	c.mustCall(EndRequest{Batch: "one", By: accessByID, Timeout: clock.Second})
	if got := busy(); got != 0 {
		t.Fatalf("%d shards are busy after the batch has ended, want 0", got)
	}
}

func TestDrainIsReportedImmediately(t *testing.T) {
	s := newStore(Self{ID: "s", Incarnation: 1})
	s.Do(CorePeers{Peers: []string{"c"}}, clock.Second)
	if heartbeat := lastHeartbeat(s.Do(Drain{}, clock.Second)); heartbeat == nil || !heartbeat.Draining {
		t.Fatalf("the heartbeat is %+v", heartbeat)
	}
}
