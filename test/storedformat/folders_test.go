package storedformat

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// object is a JSON object whose keys are spelled out by this test: what is compared with
// testdata/expected depends on no tag and no name of the code under test.
type object = map[string]any

// startedAt is the time at which the machines of these tests start.
const startedAt = 1_800_000_000 * clock.Second

// The folders of an earlier build are read back value for value.
func TestFoldersOfAnEarlierBuild(t *testing.T) {
	for _, name := range []string{"before-snapshot", "after-snapshot", "first-form"} {
		t.Run(name, func(t *testing.T) {
			compareExpected(t, name+"/core.json", readCore(t, copyFolder(t, name, "core")))
			compareExpected(t, name+"/store.json", readStore(t, copyFolder(t, name, "store")))
		})
	}
}

// A daemon keeps the identity of its file, in its next incarnation.
func TestIdentityOfAnEarlierBuild(t *testing.T) {
	for kind, want := range map[string]eventloop.Identity{
		"core":  {Kind: "cairn", ID: "cairn-00000000000a", Incarnation: 4},
		"store": {Kind: "refuge", ID: "refuge-00000000000a", Incarnation: 4},
	} {
		folder := copyFolder(t, "after-snapshot", kind)
		who, err := eventloop.LoadIdentity(folder, want.Kind)
		must(t, err)
		if who != want {
			t.Errorf("%s: read %+v, not %+v", kind, who, want)
		}
		text, err := os.ReadFile(filepath.Join(folder, "identity.json"))
		must(t, err)
		if want := `{"kind":"` + want.Kind + `","id":"` + want.ID + `","life":4}`; string(text) != want {
			t.Errorf("%s: written %s, not %s", kind, text, want)
		}
	}
}

// Archived batches are read from the archive, and files of the archive that nothing refers to
// are removed.
func TestArchiveOfAnEarlierBuild(t *testing.T) {
	folder := copyFolder(t, "after-snapshot", "store")
	archive, err := eventloop.OpenArchive(folder)
	must(t, err)
	if !slices.Equal(archive.Files(), []uint64{1, 2}) || archive.LastFile() != 2 {
		t.Errorf("the archive has %v up to %d", archive.Files(), archive.LastFile())
	}
	body, err := archive.Get(1, "b-12f514de20d9fb5c6cd8e6d2")
	must(t, err)
	const want = `{"id":"b-12f514de20d9fb5c6cd8e6d2","customer":"customer-1","key":"forgotten","hash":"2a348d0ed7c4e4ce8816f638","route":"nightly","plan":100,"items":[{"id":"item-a"}],` +
		`"state":"done","enrolled":1700000003500000,"changed":0,"rows":[{"writer":1,"position":1,"bundle":"b-12f514de20d9fb5c6cd8e6d2","item":0,"item_id":"item-a","status":"ok","output":"one's result","server":"server-a"}]}`
	if string(body) != want {
		t.Errorf("the archive has %s, not %s", body, want)
	}
	_, effects := startStore(t, folder)
	unused := slices.IndexFunc(effects, func(effect machine.Effect) bool {
		drop, ok := effect.(machine.DeleteArchive)
		return ok && slices.Equal(drop.Files, []uint64{1})
	})
	if unused < 0 {
		t.Error("the file of the batch that was dropped is not removed")
	}
}

// copyFolder copies a data folder of testdata, so that a machine may be started on it.
func copyFolder(t *testing.T, name, kind string) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), kind)
	must(t, os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "folders", name, kind))))
	return folder
}

func openRecords(t *testing.T, folder string) []machine.Record {
	t.Helper()
	_, records, err := eventloop.OpenRecords(folder)
	must(t, err)
	return records
}

// startCore starts a core on a folder; the effects are those of its first tick.
func startCore(t *testing.T, folder string) (*controlplane.Core, []machine.Effect) {
	t.Helper()
	ref := election.CoreRef{ID: keptCore, Peer: coreSeeds[0], Zone: "zone-a"}
	core := controlplane.New(ref, 4, coreSeeds, controlplane.Defaults(), openRecords(t, folder))
	effects := core.Do(controlplane.Tick{}, startedAt)
	if core.BadRecord != nil {
		t.Fatalf("a record can't be read: %v", core.BadRecord)
	}
	return core, effects
}

// startStore starts a store on a folder; the effects are those of its first tick.
func startStore(t *testing.T, folder string) (*batchstore.Store, []machine.Effect) {
	t.Helper()
	archive, err := eventloop.OpenArchive(folder)
	must(t, err)
	self := batchstore.Self{ID: keptStore, Zone: "zone-a", Peer: "10.0.1.1:7100", Incarnation: 4, Name: "machine-1"}
	machine := batchstore.New(self, batchstore.Defaults(), openRecords(t, folder), archive)
	effects := machine.Do(batchstore.Tick{}, startedAt)
	if machine.BadRecord != nil {
		t.Fatalf("a record can't be read: %v", machine.BadRecord)
	}
	return machine, effects
}

// readCore is all that a core reads back.
func readCore(t *testing.T, folder string) object {
	t.Helper()
	core, effects := startCore(t, folder)
	return object{"vote": voteObject(core.Vote()), "groups": groupObjects(core.Groups()), "state": stateObject(t, core.State()), "endpoint_updates": updateObjects(effects)}
}

func voteObject(vote election.Vote) object {
	return object{
		"fleet": vote.Fleet, "term": vote.Term, "settled": vote.CommittedByAll,
		"pending": assignmentObject(vote.Pending), "pending_voters": voterObjects(vote.PendingVoters),
		"committed": assignmentObject(vote.Committed), "voters": voterObjects(vote.Voters), "old_voters": voterObjects(vote.OldVoters),
	}
}

func voterObjects(voters []election.CoreRef) []object {
	out := []object{}
	for _, ref := range voters {
		out = append(out, object{"id": ref.ID, "peer": ref.Peer, "zone": ref.Zone})
	}
	return out
}

func assignmentObject(a assignment) object {
	replicas := []object{}
	for _, member := range a.Replicas {
		replicas = append(replicas, object{"id": member.ID, "life": member.Incarnation})
	}
	return object{"epoch": a.Epoch, "primary": object{"id": a.Primary.ID, "life": a.Primary.Incarnation}, "replicas": replicas, "complete": a.Complete, "trusted": a.Trusted}
}

func stateObject(t *testing.T, s *state.State) object {
	t.Helper()
	configurations, orders, stores, shards := []object{}, []object{}, object{}, []object{}
	for _, version := range s.Versions {
		digest, err := state.DigestOf(version.Body)
		must(t, err)
		configurations = append(configurations, object{"number": version.Number, "base": version.Base, "document": string(version.Body), "by": version.By, "at": version.At, "digest": digest.String()})
	}
	for _, order := range s.Requests.All() {
		orders = append(orders, object{"number": order.Number, "base": order.Base, "digest": order.Digest.String()})
	}
	for id, known := range s.Stores {
		stores[id] = object{"id": known.ID, "writer": known.Writer, "zone": known.Zone, "peer": known.Peer, "name": known.Name, "life": known.Incarnation, "retiring": known.Retiring, "retired": known.Retired, "struck": known.Evicted}
	}
	for _, a := range s.Shards {
		shards = append(shards, assignmentObject(a))
	}
	return object{"fleet": s.Fleet, "changes": s.Seq, "next_writer": s.NextWriter, "configurations": configurations, "orders": orders, "orders_forgotten": s.Requests.PrunedUpTo(), "stores": stores, "shards": shards}
}

// updateObjects are the updates that a core publishes again.
func updateObjects(effects []machine.Effect) []object {
	out := []object{}
	for _, effect := range effects {
		if publish, ok := effect.(machine.Publish); ok {
			out = append(out, object{"key": publish.Update.Key, "epoch": publish.Update.Epoch, "seq": publish.Update.Seq, "value": string(publish.Update.Value)})
		}
	}
	return out
}

func groupObjects(groups interface{ All() []*group }) object {
	out := object{}
	for _, known := range groups.All() {
		out[known.Unit] = object{"epoch": known.Epoch, "seq": known.Seq, "durable": known.SyncedSeq, "role": known.Role.String()}
	}
	return out
}

// readStore is all that a store reads back.
func readStore(t *testing.T, folder string) object {
	t.Helper()
	machine, _ := startStore(t, folder)
	shards := object{}
	for _, known := range machine.Groups().All() {
		shards[known.Unit] = shardObject(t, machine.LocalSnapshot(known.Unit), replication.AllParts(machine.Snapshot(known.Unit)))
	}
	return object{"fleet": machine.Fleet(), "writer": machine.Writer(), "next_position": nextPosition(t, machine), "groups": groupObjects(machine.Groups()), "shards": shards}
}

// nextPosition is the position after all that an earlier incarnation has reserved.
func nextPosition(t *testing.T, machine *batchstore.Store) int64 {
	t.Helper()
	for _, effect := range machine.Do(batchstore.Call{Number: 1, Body: batchstore.StatusRequest{}}, startedAt) {
		if next, ok := nextOf(effect); ok {
			return next
		}
	}
	t.Fatal("the store does not report its status")
	return 0
}

func nextOf(effect machine.Effect) (int64, bool) {
	answer, ok := effect.(machine.Reply)
	if !ok {
		return 0, false
	}
	shown, ok := answer.Body.(batchstore.StatusResponse)
	return shown.Next, ok
}

// shardObject is a shard as it is in memory (its local snapshot), with the batches as the
// archive completes them (its snapshot).
func shardObject(t *testing.T, local, complete [][]byte) object {
	t.Helper()
	kept, err := shard.Restore(local)
	must(t, err)
	full, err := shard.Restore(complete)
	must(t, err)
	batches, claims, spans := object{}, object{}, []object{}
	for id, batch := range kept.Batches {
		one := batchObject(full.Batches[id])
		if archived := batch.Archived; archived != nil {
			one["archived"] = object{"file": archived.File, "items": archived.Items, "rows": archived.Results, "last": archived.LastPositions}
		}
		batches[id] = one
	}
	for id, claim := range kept.Claims {
		claims[id] = object{"customer": claim.Tenant, "key": claim.Key, "hash": claim.Hash, "order": claim.RequestID, "state": claim.State, "answer": string(claim.Response), "at": claim.At}
	}
	for _, span := range kept.Ownerships {
		spans = append(spans, object{"writer": span.Writer, "first": span.First, "last": span.Last})
	}
	return object{"batches": batches, "claims": claims, "spans": spans, "last": kept.LastPositions}
}

func batchObject(batch *shard.Batch) object {
	items, rows := []object{}, []object{}
	for _, item := range batch.Items {
		items = append(items, itemObject(item))
	}
	for _, row := range batch.Results {
		rows = append(rows, object{"writer": row.Writer, "position": row.Position, "batch": row.Batch, "item": row.Item, "item_id": row.ItemID, "status": row.Status, "output": row.Output, "server": row.Server})
	}
	return object{"id": batch.ID, "customer": batch.Tenant, "key": batch.Key, "hash": batch.Hash, "route": batch.Route, "configuration": batch.ConfigurationVersion,
		"state": string(batch.State), "submitted": batch.SubmittedAt, "changed": batch.ChangedAt, "items": items, "rows": rows}
}

func itemObject(item shard.Item) object {
	if item.Request == nil {
		return object{"id": item.ID, "input": item.Input}
	}
	r := item.Request
	return object{"id": item.ID, "input": item.Input, "request": object{"target": r.Target, "host": r.Host, "header": r.Header, "body": r.Body, "size": r.Size, "tokens": r.Tokens}}
}

// compareExpected compares what was read with the document kept in testdata/expected.
func compareExpected(t *testing.T, name string, got object) {
	t.Helper()
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	must(t, encoder.Encode(got))
	file := filepath.Join("testdata", "expected", name)
	if *writeFixtures {
		must(t, os.MkdirAll(filepath.Dir(file), 0o755))
		must(t, os.WriteFile(file, text.Bytes(), 0o644))
	}
	want, err := os.ReadFile(file)
	must(t, err)
	reportDifference(t, name, text.String(), string(want))
}

// reportDifference names the first lines that differ.
func reportDifference(t *testing.T, name, got, want string) {
	t.Helper()
	if got == want {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	at := 0
	for at < len(gotLines) && at < len(wantLines) && gotLines[at] == wantLines[at] {
		at++
	}
	excerpt := func(lines []string) string {
		return strings.Join(lines[min(at, len(lines)):min(at+4, len(lines))], "\n")
	}
	t.Errorf("%s differs from line %d on\nread:\n%s\nexpected:\n%s", name, at+1, excerpt(gotLines), excerpt(wantLines))
}
