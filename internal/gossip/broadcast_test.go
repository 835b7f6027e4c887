package gossip

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// A broadcast is answered once a weighted majority of the voters has acknowledged it. A voter of the
// previous release is sent the update as Gossip, not as PushUpdate.
func TestBroadcastCompletesOnMajorityAcknowledgement(t *testing.T) {
	for _, reached := range []bool{true, false} {
		t.Run(fmt.Sprintf("majority reached %v", reached), func(t *testing.T) {
			n := New(membership.Member{ID: "e", Kind: membership.Edge, Peer: "e", Zone: "z"}, nil, settingsWithVoters(), 1)
			for id, version := range map[string]int{"s1": 2, "s2": 2, "s3": 1, "k1": 2, "k2": 2} {
				voter := membership.Member{ID: id, Kind: membership.Store, Peer: id, Zone: "y", Version: version}
				n.Do(Publish{memberUpdate(voter)}, 1)
			}
			weights := []byte(`{"s1":2,"s2":2,"s3":2,"k1":1,"k2":1,"k3":1}`)
			n.Do(Publish{machine.Update{Key: votersKey, Seq: 1, Value: weights}}, 1)
			var reply *machine.Reply
			pushed := map[string]uint64{}
			collect := func(effects []machine.Effect) {
				for _, effect := range effects {
					switch e := effect.(type) {
					case machine.Reply:
						reply = &e
					case machine.Send:
						if push, ok := e.Body.(PushUpdate); ok {
							pushed[e.To] = push.Nonce
						}
					}
				}
			}
			collect(n.Do(Broadcast{Update: machine.Update{Key: "server/a", Seq: 1}, Call: 7, Body: "out", Timeout: clock.Second}, 10))
			if _, old := pushed["s3"]; old || len(pushed) != 4 || reply != nil {
				t.Fatalf("pushed to %v, answered %v before any acknowledgement", pushed, reply)
			}
			// Weights: s3 counts 2 of 9 without an acknowledgement; with s1 it is 4, with k1 5.
			collect(n.Do(Message{From: "s1", Body: PushAck{Nonce: pushed["s1"], ID: "s1"}}, 20))
			if reply != nil {
				t.Fatal("a weight of 4 of 9 counted as a majority")
			}
			if reached {
				collect(n.Do(Message{From: "k1", Body: PushAck{Nonce: pushed["k1"], ID: "k1"}}, 30))
			}
			collect(n.Do(Tick{}, 2*clock.Second))
			if reply == nil || reply.Call != 7 || (reply.Err == nil) != reached {
				t.Fatalf("answered %+v", reply)
			}
		})
	}
}
