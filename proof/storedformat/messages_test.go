package storedformat

import (
	"bytes"
	"encoding/gob"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"tuliprudder/core/control"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/transport"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/membership/gossip"
)

// messages is a batch of messages between daemons, as the net/rpc call carries it.
func messages() transport.Batch {
	member := replication.Member{ID: "cairn-1", Life: 3}
	vote := control.Vote{Fleet: "f-1", Term: 7, Pending: assignment{Epoch: 7, Primary: member}, Voters: []control.CoreRef{{ID: "cairn-1", Peer: "10.0.0.1:7000", Zone: "zone-a"}}, Settled: true}
	batch := shard.Bundle{ID: "b-1", Customer: "customer-1", Key: "k", Hash: "h", Route: "nightly", Plan: 9, State: shard.Open, Enrolled: 12,
		Items: []shard.Item{{ID: "x", Input: "in"}, {ID: "y", Request: &shard.Request{Target: "/t", Host: "h", Header: map[string]string{"A": "b"}, Body: []byte("body"), Tokens: 4}}}}
	bodies := []any{
		control.VoteReply{Epoch: 7, From: "cairn-2", Yes: true, Why: "because", Vote: vote},
		store.Beat{ID: "refuge-1", Zone: "zone-a", Peer: "10.0.1.1:7100", Name: "machine-1", Life: 5, Ready: map[int]uint64{2: 8}, Fleet: "f-1", Draining: true, Stalled: true, Silent: map[int]store.SilentReplicas{3: {Epoch: 9, Peers: []string{"10.0.1.2:7100"}}}, Busy: []int{1, 2}},
		store.EnrolAsk{Slot: 2, Bundle: batch, Expiry: 77},
		replication.Append{Unit: "slot/002", Epoch: 8, Seq: 4, Entry: []byte("entry")},
		gossip.Gossip{Updates: []machine.Update{{Key: "server/a", Epoch: 1, Seq: 2, Value: []byte("{}")}}},
	}
	var out transport.Batch
	for _, body := range bodies {
		out.Messages = append(out.Messages, transport.Envelope{From: "10.0.0.2:7000", Body: body})
	}
	return out
}

func writeMessages(t *testing.T) {
	t.Helper()
	var data bytes.Buffer
	must(t, gob.NewEncoder(&data).Encode(messages()))
	must(t, os.WriteFile(filepath.Join("testdata", "messages.gob"), data.Bytes(), 0o644))
}

// Messages of an earlier build are decoded, each field into its own. Messages carry the
// names of Go types and fields: a type that was renamed is not known to the decoder, but a
// field that was renamed is passed over, and its value is lost without an error. A build
// that renames either must refuse these bytes, and never take them for something else;
// this test says so then.
func TestMessagesOfAnEarlierBuild(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "messages.gob"))
	must(t, err)
	var got transport.Batch
	must(t, gob.NewDecoder(bytes.NewReader(data)).Decode(&got))
	want := messages()
	if len(got.Messages) != len(want.Messages) {
		t.Fatalf("%d messages were decoded, not %d", len(got.Messages), len(want.Messages))
	}
	for i, message := range got.Messages {
		if !reflect.DeepEqual(message, want.Messages[i]) {
			t.Errorf("message %d was decoded as %+v, not %+v", i, message, want.Messages[i])
		}
	}
}
