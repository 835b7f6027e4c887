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

// replicaPair is two batch stores that replicate the only shard, with "store" as its primary.
// Messages and writes take no time.
type replicaPair struct {
	stores  map[string]*batchstore.Store
	records map[string][]machine.Record // on each store's disk
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

// mapUpdate makes an update with a map of one shard whose primary is "store".
func mapUpdate(seq uint64, complete bool) machine.Update { return mapUpdateOf(seq, 1, complete) }

// mapUpdateOf is mapUpdate with an incarnation of "store", whose number is also the shard's epoch.
func mapUpdateOf(seq, incarnation uint64, complete bool) machine.Update {
	value, _ := json.Marshal(state.Map{
		Fleet: "f", Seq: seq,
		Stores: map[string]state.Store{"store": {ID: "store", Peer: "store", Incarnation: incarnation}, "other": {ID: "other", Peer: "other", Incarnation: 1}},
		Shards: []replication.Assignment{{
			Epoch:    incarnation,
			Primary:  replication.Member{ID: "store", Incarnation: incarnation},
			Replicas: []replication.Member{{ID: "other", Incarnation: 1}},
			Complete: complete,
			Trusted:  []string{"store", "other"},
		}},
	})
	return machine.Update{Key: state.MapKey, Seq: seq, Value: value}
}

// assign makes an incarnation of "store" the shard's primary.
func (p *replicaPair) assign(seq, incarnation uint64) {
	for step, complete := range []bool{false, true} {
		for _, id := range []string{"store", "other"} {
			p.do(id, batchstore.UpdateReceived{Update: mapUpdateOf(seq+uint64(step), incarnation, complete)})
		}
		for range 40 {
			p.now += 50 * clock.Millisecond
			p.do("store", batchstore.Tick{})
			p.do("other", batchstore.Tick{})
		}
	}
}

// restart restarts "store" from its disk, as a new incarnation.
func (p *replicaPair) restart(incarnation uint64) {
	self := batchstore.Self{ID: "store", Zone: "store", Peer: "store", Incarnation: incarnation}
	p.stores["store"] = batchstore.New(self, batchstore.Defaults(), p.records["store"], noArchive{})
}

// submit makes "store" accept a batch of one forwarded item.
func (p *replicaPair) submit(tokens int64) {
	p.do("store", batchstore.Call{Number: 1, Body: batchstore.SubmitRequest{
		Timeout: clock.Second,
		Batch:   shard.Batch{ID: "b", Tenant: "r", Route: "r", Items: []shard.Item{forwardedItem(tokens)}},
	}})
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

// requestUsage asks a store for its usage reports, as the owner of the account of "r" does.
func requestUsage(t *testing.T, s *Store, now clock.Micros) []quota.Report {
	t.Helper()
	request := quota.UsageRequest{Name: shard.AccountName{Route: "r"}, Account: quota.AccountID{Epoch: 9}, Shards: []int{0}}
	for _, effect := range s.Call(1, request, now) {
		if reply, ok := effect.(machine.Reply); ok {
			return reply.Body.(quota.UsageResponse).Reports
		}
	}
	t.Fatal("the store sent no reply")
	return nil
}

// A restarted store reports no usage of a shard, whatever it has read back from disk, until it serves the
// shard again; then it reports all accepted batches. Issue 26 (scale-2, seed 53903793542, of
// nhacpho-render): it reported 0. Issue 29: it also reported shards that other stores serve.
func TestARestartedStoreReportsTheShardsThatItServes(t *testing.T) {
	pair := newReplicaPair()
	pair.submit(70)
	s := newTestStoreOf(pair.stores["store"], config.Forward{MaxQueuedTokens: 1000})
	if got := requestUsage(t, s, pair.now); len(got) != 1 || got[0].InUse != 70 || got[0].Epoch != 1 {
		t.Fatalf("before the restart it reported %+v", got)
	}
	pair.restart(2)
	s = newTestStoreOf(pair.stores["store"], config.Forward{MaxQueuedTokens: 1000})
	if got := requestUsage(t, s, pair.now); len(got) != 0 {
		t.Fatalf("before it has a map it reported %+v", got)
	}
	pair.do("store", batchstore.UpdateReceived{Update: mapUpdate(3, true)})
	if got := requestUsage(t, s, pair.now); len(got) != 0 {
		t.Fatalf("with the map from before its restart it reported %+v", got)
	}
	pair.assign(4, 2)
	if got := requestUsage(t, s, pair.now); len(got) != 1 || got[0].InUse != 70 || got[0].Epoch != 2 {
		t.Fatalf("once it serves the shard it reported %+v", got)
	}
}

// A batch counts as soon as it has been admitted: a usage request right after that includes it.
func TestABatchCountsOnceItIsAdmitted(t *testing.T) {
	pair := newReplicaPair()
	s := newTestStoreOf(pair.stores["store"], config.Forward{MaxQueuedTokens: 1000})
	if err := submitTo(s, pair.now, "r", forwardedItem(300), forwardedItem(40), forwardedItem(0)); err != nil {
		t.Fatal(err)
	}
	got := requestUsage(t, s, pair.now)
	const tokens = 341 // an item without tokens counts as one token
	if len(got) != 1 || got[0].InUse != tokens {
		t.Fatalf("it reported %+v", got)
	}
	account := s.Quota.Snapshot(pair.now).Accounts["r"]
	if account.Quota != 1000 || account.Granted["store"] != tokens {
		t.Errorf("its account is %+v", account)
	}
}
