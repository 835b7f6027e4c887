package storedformat

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
	"tuliprudder/internal/storage"
)

var writeFixtures = flag.Bool("write-fixtures", false, "write testdata anew with this build; only for further fixtures, never to make a test pass")

type (
	assignment = replication.Assignment
	group      = replication.Group
)

// retention is how long the stores of the scenario keep finished batches.
const retention = 30 * clock.Second

// The daemons whose folders are kept.
const (
	keptCore  = "cairn-00000000000a"
	keptStore = "refuge-00000000000a"
)

// TestWriteFixtures runs the scenario and writes testdata/folders. Without the flag it
// does nothing: the folders in testdata are those of an earlier build.
func TestWriteFixtures(t *testing.T) {
	if !*writeFixtures {
		return
	}
	f := newFleet(t)
	f.runToSnapshot()
	f.keep("before-snapshot")
	f.runOn()
	f.keep("after-snapshot")
	writeFirstForm(t)
	writeMessages(t)
}

// runToSnapshot runs the scenario up to the first snapshot.
func (f *fleet) runToSnapshot() {
	f.bootstrap()
	f.writeConfigurations()
	f.writeEarlyBatches()
	f.joinAndMove()
}

// runOn runs the rest of it.
func (f *fleet) runOn() {
	f.takeSnapshots()
	f.writeAfterSnapshot()
}

// bootstrap starts three cores and two stores.
func (f *fleet) bootstrap() {
	f.startCore(keptCore, coreSeeds[0], "zone-a")
	f.startCore("cairn-00000000000b", coreSeeds[1], "zone-b")
	f.startCore("cairn-00000000000c", coreSeeds[2], "zone-c")
	f.startStore(keptStore, "10.0.1.1:7100", "zone-a", "machine-1")
	f.startStore("refuge-00000000000b", "10.0.1.2:7100", "zone-b", "machine-2")
	f.awaitStable()
	f.pass(2 * clock.Second)
}

// put puts a configuration; number 0 is one that the core numbers.
func (f *fleet) put(number, base uint64, hasBase bool, document string) uint64 {
	f.t.Helper()
	answer := f.callPrimary(controlplane.PutConfigurationRequest{Body: []byte(document), Number: number, Base: base, HasBase: hasBase, By: "operator-1", Timeout: callDeadline})
	acknowledgement, ok := answer.(controlplane.PutConfigurationResponse)
	if !ok {
		f.t.Fatalf("a configuration was answered with %T", answer)
	}
	return acknowledgement.Version
}

// announceServer gives every core an update of a server, as the gossip does.
func (f *fleet) announceServer(server endpoints.Server, epoch, seq uint64) {
	update := endpoints.ServerUpdate(server, machine.Update{}, 0)
	update.Epoch, update.Seq = epoch, seq
	for peer, core := range f.cores {
		f.step(peer, core.Do(controlplane.DurableUpdate{Update: update}, f.now))
	}
	f.pass(tick)
}

func (f *fleet) writeConfigurations() {
	f.put(0, 0, false, `{"ver":1,"text":"numbered by the core"}`)
	f.put(0, 1, true, `{ "ver": 2, "text": "a<b & c>é" }`)
	f.put(100, 2, true, `{"ver":100,"text":"numbered by the operator"}`)
	f.announceServer(endpoints.Server{Name: "server-a", Address: "10.0.2.1:8000", Labels: map[string]string{"pool": "large"}, Slots: 8}, 0, 1_700_000_010_000_001)
	f.announceServer(endpoints.Server{Name: "server-b", Address: "10.0.2.2:8000", Slots: 4}, 0, 1_700_000_010_000_002)
}

// inputBatch is a batch of inputs for a model; its id comes from its key.
func inputBatch(tenant, key string, items ...string) shard.Batch {
	batch := shard.Batch{ID: shard.BatchID(tenant, key), Tenant: tenant, Key: key, Hash: shard.Hash(items...), Route: "nightly", ConfigurationVersion: 100}
	for i, input := range items {
		batch.Items = append(batch.Items, shard.Item{ID: "item-" + string(rune('a'+i)), Input: input})
	}
	return batch
}

// requestBatch is a batch of requests that are forwarded unchanged, under its own name.
func requestBatch(id string, bodies ...string) shard.Batch {
	batch := shard.Batch{ID: id, Tenant: "forwarded", Hash: shard.Hash(bodies...), Route: "forwarded", ConfigurationVersion: 100}
	for i, body := range bodies {
		request := &shard.Request{Target: "/v1/chat?n=1", Host: "models.example", Header: map[string]string{"Content-Type": "application/json"}, Body: []byte(body), Tokens: int64(11 + i)}
		batch.Items = append(batch.Items, shard.Item{ID: "request-" + string(rune('a'+i)), Request: request})
	}
	return batch
}

// batchID is the id of a batch of inputs.
func batchID(tenant, key string) string { return shard.BatchID(tenant, key) }

// writeEarlyBatches submits batches that are finished, cancelled and archived before the
// snapshot, one of which is dropped again for its age. The tenants are chosen so that
// the batches' shards stay with the store whose folder is kept.
func (f *fleet) writeEarlyBatches() {
	f.submit(inputBatch("customer-1", "forgotten", "one"))
	f.result(batchID("customer-1", "forgotten"), 0, "ok", "one's result")
	f.claim("customer-1", "forgotten-claim")
	f.pass(61 * clock.Second) // beyond retention, and the next round of the clean-up
	f.submit(inputBatch("customer-2", "archived-done", "first", "second"))
	f.result(batchID("customer-2", "archived-done"), 1, "failed", "no server took it")
	f.result(batchID("customer-2", "archived-done"), 0, "ok", "first result, a<b & c>é")
	f.submit(inputBatch("customer-2", "archived-ended", "third", "fourth"))
	f.result(batchID("customer-2", "archived-ended"), 0, "ok", "third result")
	f.end(batchID("customer-2", "archived-ended"), "customer-2")
	f.pass(3 * clock.Second) // they are archived
	f.submit(requestBatch("raw-open", "{\"n\":1}", "", "\x00\xff\"}"))
	f.result("raw-open", 0, "ok", "raw result")
	f.submit(inputBatch("customer-1", "open", "fifth", "sixth", "seventh"))
	f.result(batchID("customer-1", "open"), 2, "ok", "seventh result")
	f.claim("customer-1", "claim-open")
	f.claim("customer-4", "claim-answered")
	f.complete("customer-4", "claim-answered", shard.Answered, `{"order":"order-claim-answered","status":"ok","output":"text","server":"server-a"}`)
	f.claim("customer-3", "claim-void")
	f.complete("customer-3", "claim-void", shard.Voided, `null`)
}

// joinAndMove has a third store join, to which shards move, and a core replaced.
func (f *fleet) joinAndMove() {
	f.startStore("refuge-00000000000c", "10.0.1.3:7100", "zone-c", "machine-3")
	f.pass(12 * clock.Second)
	f.awaitStable()
	f.callPrimary(controlplane.RetireRequest{ID: "refuge-00000000000c", Timeout: callDeadline})
	f.pass(tick)
	f.callPrimary(controlplane.RetireRequest{ID: "refuge-00000000000c", Cancel: true, Timeout: callDeadline})
	f.awaitStable()
	f.stop(coreSeeds[2])
	f.startCore("cairn-00000000000d", "10.0.0.4:7000", "zone-c")
	f.pass(10 * clock.Second)
	f.awaitStable()
}

func (f *fleet) takeSnapshots() {
	core := f.cores[coreSeeds[0]]
	f.step(coreSeeds[0], core.Do(controlplane.CompactAgain{}, f.now))
	peer := f.ids[keptStore]
	f.step(peer, f.stores[peer].Do(batchstore.CompactAgain{}, f.now))
	f.pass(tick)
}

// writeAfterSnapshot writes what has to be read behind the snapshots.
func (f *fleet) writeAfterSnapshot() {
	f.put(101, 100, true, `{"ver":101,"text":"after the snapshot"}`)
	f.put(0, 101, true, `{"ver":102,"text":"numbered by the core again"}`)
	f.announceServer(endpoints.Server{Name: "server-b", Address: "10.0.2.2:8000", Slots: 4, Draining: true}, 1, 1_700_000_020_000_001)
	f.announceServer(endpoints.Server{Name: "server-c", Address: "10.0.2.3:8000", Slots: 2, Removed: true}, 2, 1_700_000_020_000_002)
	f.result("raw-open", 1, "failed", "refused")
	f.submit(requestBatch("raw-after", "after the snapshot", "and another"))
	f.claim("customer-5", "claim-after")
	f.complete("customer-5", "claim-after", shard.Answered, `{"order":"order-claim-after","status":"ok","output":"later","server":"server-b"}`)
	f.submit(inputBatch("customer-3", "done", "eighth", "ninth"))
	f.submit(inputBatch("customer-3", "ended", "tenth", "eleventh"))
	f.result(batchID("customer-3", "ended"), 1, "ok", "eleventh result")
	f.end(batchID("customer-3", "ended"), "customer-3")
	f.result(batchID("customer-3", "done"), 1, "ok", "ninth result")
	f.result(batchID("customer-3", "done"), 0, "ok", "eighth result")
}

// keep copies the folders of one core and one store into testdata.
func (f *fleet) keep(name string) {
	f.t.Helper()
	for kind, id := range map[string]string{"core": keptCore, "store": keptStore} {
		target := filepath.Join("testdata", "folders", name, kind)
		must(f.t, os.RemoveAll(target))
		must(f.t, os.CopyFS(target, os.DirFS(f.dataFolder(id))))
		learnt, err := json.Marshal([]string{"10.0.0.2:7000", "10.0.1.1:7100"})
		must(f.t, err)
		must(f.t, storage.WriteFileAtomically(filepath.Join(target, "peers.json"), learnt))
	}
}
