package storedformat

import (
	"bytes"
	"path/filepath"
	"testing"

	"tuliprudder/core/control"
	"tuliprudder/core/state"
	"tuliprudder/daemon/admin"
	"tuliprudder/daemon/discovery"
	"tuliprudder/daemon/eventloop"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/ledger/token"
	"tuliprudder/membership/identity"
	"tuliprudder/path/decisionlog"
	"tuliprudder/path/gate"
	"tuliprudder/path/registry"
	"tuliprudder/path/requests"
	"tuliprudder/path/scheduler"
	"tuliprudder/proof/goldenjson"
)

// jsonValues are all structs that are written as JSON to a disk, into an update or into an
// answer over HTTP, by the name of their golden file. Those that their package keeps to
// itself have the same test there.
func jsonValues(t *testing.T) map[string]any {
	t.Helper()
	whole := state.New()
	must(t, whole.Orders.UnmarshalJSON([]byte(`{"forgotten":7,"packed":"AgEAAQIDBAUGBwgJCgsMDQ4P"}`)))
	return map[string]any{
		// On disk.
		"record.json":          &machine.Record{},
		"vote.json":            &control.Vote{},
		"control-state.json":   whole,
		"assignment.json":      &replication.Assignment{},
		"batch.json":           &shard.Bundle{},
		"claim.json":           &shard.Claim{},
		"claim-answer.json":    &requests.Answer{},
		"identity.json":        &eventloop.Identity{},
		"endpoint-update.json": &machine.Update{},
		// Updates that are gossiped.
		"map.json":             &state.Map{},
		"core-news.json":       &state.CoreNews{},
		"configuration.json":   &state.Version{},
		"announcement.json":    &token.Announcement{},
		"member.json":          &identity.Member{},
		"server.json":          &registry.Server{},
		"load.json":            &registry.Load{},
		"discovery-stamp.json": &discovery.Stamp{},
		// Over HTTP.
		"error.json":         &errs.Error{},
		"store-account.json": &store.Shown{},
		"batch-status.json":  &store.Status{},
		"result-row.json":    &shard.Row{},
		"decision.json":      &decisionlog.Entry{},
		"server-view.json":   &scheduler.ServerView{},
		"server-list.json":   &admin.ServersBody{},
		"live-request.json":  &gate.LiveBody{},
		"batch-request.json": &gate.BundleBody{},
	}
}

// goldenFile is the path of a golden file.
func goldenFile(name string) string { return filepath.Join("testdata", "golden", name) }

// Each struct is written byte for byte as the earlier build wrote it, and read back whole.
func TestGoldenJSON(t *testing.T) {
	for name, pointer := range jsonValues(t) {
		if err := goldenjson.Check(goldenFile(name), pointer); err != nil {
			t.Errorf("%T: %v", pointer, err)
		}
	}
}

// controlEntry and shardEntry fill a change and encode it.
func controlEntry[E state.Entry](t *testing.T) []byte {
	t.Helper()
	var entry E
	must(t, goldenjson.Fill(&entry))
	return state.Encode(entry)
}

func shardEntry[E shard.Entry](t *testing.T) []byte {
	t.Helper()
	var entry E
	must(t, goldenjson.Fill(&entry))
	return shard.Encode(entry)
}

// withoutBodies is a batch that is handed in without the body of a request.
func withoutBodies(t *testing.T) []byte {
	t.Helper()
	var entry shard.Enrol
	must(t, goldenjson.Fill(&entry))
	entry.Bundle.Items[0].Request.Body = nil
	return shard.Encode(entry)
}

// Each change is written byte for byte as the earlier build wrote it.
func TestGoldenEntries(t *testing.T) {
	for name, data := range map[string][]byte{
		"control-found.json":      controlEntry[state.Found](t),
		"control-enrol.json":      controlEntry[state.EnrolStore](t),
		"control-retire.json":     controlEntry[state.Retire](t),
		"control-pair.json":       controlEntry[state.Pair](t),
		"control-put-plan.json":   controlEntry[state.PutPlan](t),
		"shard-enrol.json":        withoutBodies(t),
		"shard-enrol-with-bodies": shardEntry[shard.Enrol](t),
		"shard-list.json":         shardEntry[shard.List](t),
		"shard-end.json":          shardEntry[shard.End](t),
		"shard-claim.json":        shardEntry[shard.Claiming](t),
		"shard-settle.json":       shardEntry[shard.Settling](t),
		"shard-forget.json":       shardEntry[shard.Forget](t),
	} {
		if err := goldenjson.CheckBytes(goldenFile(name), data); err != nil {
			t.Error(err)
		}
	}
}

// The parts of a shard's snapshot are written byte for byte as the earlier build wrote them.
func TestGoldenShardSnapshot(t *testing.T) {
	var batch shard.Bundle
	var claim shard.Claim
	var span shard.Tenure
	for _, pointer := range []any{&batch, &claim, &span} {
		must(t, goldenjson.Fill(pointer))
	}
	slot := shard.NewSlot()
	slot.Bundles[batch.ID], slot.Claims[claim.Key] = &batch, &claim
	slot.Last, slot.Tenures = map[int]int64{3: 9}, []shard.Tenure{span}
	if err := goldenjson.CheckBytes(goldenFile("shard-snapshot"), bytes.Join(slot.View(nil), []byte("\n"))); err != nil {
		t.Error(err)
	}
}
