package machines

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// replicaPair is two batch stores that replicate the one shard there is, "store" as its primary.
// Messages and writes take no time.
type replicaPair struct {
	stores  map[string]*batchstore.Store
	records map[string][]machine.Record // on each one's disk
	now     clock.Micros
}

func newReplicaPair() *replicaPair {
	p := &replicaPair{stores: map[string]*batchstore.Store{}, records: map[string][]machine.Record{}, now: clock.Second}
	for writer, id := range []string{"store", "other"} {
		p.stores[id] = batchstore.New(batchstore.Self{ID: id, Zone: id, Peer: id, Incarnation: 1}, batchstore.Defaults(), nil, noArchive{})
		p.do(id, batchstore.Message{Body: registration.Registered{Fleet: "f", Writer: writer + 1}})
	}
	for seq, complete := range []bool{false, true} {
		for _, id := range []string{"store", "other"} {
			p.do(id, batchstore.UpdateReceived{Update: mapUpdate(uint64(seq+1), complete)})
		}
		for range 20 {
			p.now += 50 * clock.Millisecond
			p.do("store", batchstore.Tick{})
			p.do("other", batchstore.Tick{})
		}
	}
	return p
}

// mapUpdate is a map of one shard whose primary is "store".
func mapUpdate(seq uint64, complete bool) machine.Update {
	value, _ := json.Marshal(state.Map{
		Fleet: "f", Seq: seq,
		Stores: map[string]state.Store{"store": {Peer: "store"}, "other": {Peer: "other"}},
		Shards: []replication.Assignment{{
			Epoch:    1,
			Primary:  replication.Member{ID: "store", Incarnation: 1},
			Replicas: []replication.Member{{ID: "other", Incarnation: 1}},
			Complete: complete,
		}},
	})
	return machine.Update{Key: state.MapKey, Seq: seq, Value: value}
}

func (p *replicaPair) do(id string, command batchstore.Command) {
	for _, effect := range p.stores[id].Do(command, p.now) {
		switch e := effect.(type) {
		case machine.Persist:
			p.records[id] = append(p.records[id], e.Records...)
			p.do(id, batchstore.Persisted{Token: e.Token})
		case machine.Send:
			if p.stores[e.To] != nil {
				p.do(e.To, batchstore.Message{From: id, Body: e.Body})
			}
		}
	}
}

// A store that restarted and has just got its first map tells a new owner of an account what it
// read back, not what it had counted before the map came. (Issue 26: scale-2, seed 53903793542,
// of nhacpho-render: edges and a store restarted at once, the quota was exceeded by a fifth.)
func TestARestartedStoreReportsWhatItReadBack(t *testing.T) {
	pair := newReplicaPair()
	pair.do("store", batchstore.Call{Number: 1, Body: batchstore.SubmitRequest{
		Timeout: clock.Second,
		Batch:   shard.Batch{ID: "b", Tenant: "r", Route: "r", Items: []shard.Item{forwardedItem(70)}},
	}})
	if got := pair.stores["store"].PendingWeights(pair.now)["r"]; got != 70 {
		t.Fatalf("%d tokens are pending at the primary", got)
	}
	restarted := batchstore.New(batchstore.Self{ID: "store", Zone: "store", Peer: "store", Incarnation: 2}, batchstore.Defaults(), pair.records["store"], noArchive{})
	s := newTestStoreOf(restarted, config.Forward{MaxQueuedTokens: 1000})
	s.Tick(testTime)
	s.UpdateReceived(mapUpdate(3, true), testTime+clock.Millisecond)
	for _, effect := range s.Call(1, quota.UsageRequest{Tenant: "r", Epoch: 1}, testTime+2*clock.Millisecond) {
		if reply, ok := effect.(machine.Reply); ok {
			if response, ok := reply.Body.(quota.UsageResponse); !ok || response.InUse != 70 {
				t.Errorf("it reported %+v %v", reply.Body, reply.Err)
			}
			return
		}
	}
	t.Fatal("it reported nothing")
}

// A map that moves shards is followed by a report at the next tick.
func TestAMapIsFollowedByAReport(t *testing.T) {
	pair := newReplicaPair()
	pair.do("store", batchstore.Call{Number: 1, Body: batchstore.SubmitRequest{
		Timeout: clock.Second,
		Batch:   shard.Batch{ID: "b", Tenant: "r", Route: "r", Items: []shard.Item{forwardedItem(70)}},
	}})
	restarted := batchstore.New(batchstore.Self{ID: "store", Zone: "store", Peer: "store", Incarnation: 2}, batchstore.Defaults(), pair.records["store"], noArchive{})
	s := newTestStoreOf(restarted, config.Forward{MaxQueuedTokens: 1000})
	s.Tick(testTime)
	s.UpdateReceived(mapUpdate(3, true), testTime+clock.Millisecond)
	for _, effect := range s.Tick(testTime + 2*clock.Millisecond) {
		if request, ok := effect.(machine.Request); ok {
			if lease, ok := request.Body.(quota.LeaseRequest); ok && lease.Tenant == "r" && lease.InUse == 70 {
				return
			}
		}
	}
	t.Error("the tick after the map reports nothing of it")
}
