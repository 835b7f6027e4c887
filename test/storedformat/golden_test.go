package storedformat

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/admin"
	"tuliprudder/internal/daemon/discovery"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/gateway"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/replication"
	"tuliprudder/test/goldenjson"
)

// jsonValues are all structs that are written as JSON to a disk, into an update or into an
// answer over HTTP, by the name of their golden file. Those that their package keeps to
// itself have the same test there.
func jsonValues(t *testing.T) map[string]any {
	t.Helper()
	controlState := state.New()
	must(t, controlState.Requests.UnmarshalJSON([]byte(`{"forgotten":7,"packed":"AgEAAQIDBAUGBwgJCgsMDQ4P"}`)))
	return map[string]any{
		// On disk.
		"record.json":             &machine.Record{},
		"vote.json":               &election.Vote{},
		"control-state-acts.json": controlState,
		"assignment.json":         &replication.Assignment{},
		"batch-route-id.json":     &shard.Batch{},
		"claim.json":              &shard.Claim{},
		"claim-answer.json":       &requests.Response{},
		"identity.json":           &eventloop.Identity{},
		"endpoint-update.json":    &machine.Update{},
		// Updates that are gossiped.
		"map.json":             &state.Map{},
		"core-news.json":       &state.CoreUpdate{},
		"configuration.json":   &state.Version{},
		"announcement.json":    &token.Announcement{},
		"member.json":          &membership.Member{},
		"server.json":          &endpoints.Server{},
		"load.json":            &endpoints.Load{},
		"discovery-stamp.json": &discovery.LastRead{},
		// Over HTTP.
		"error.json":                 &errs.Error{},
		"store-account.json":         &batchstore.StatusResponse{},
		"batch-status-route-id.json": &batchstore.BatchStatus{},
		"result-row.json":            &shard.Result{},
		"decision.json":              &decisionlog.Entry{},
		"server-view.json":           &scheduler.ServerSnapshot{},
		"server-list.json":           &admin.ServersRequest{},
		"live-request.json":          &gateway.SubmitRequestBody{},
		"batch-request.json":         &gateway.SubmitBatchBody{},
	}
}

// goldenFile is the path of a golden file.
func goldenFile(name string) string { return filepath.Join("testdata", "golden", name) }

// Each struct is written byte for byte as the earlier build wrote it, and read back completely.
func TestGoldenJSON(t *testing.T) {
	for name, pointer := range jsonValues(t) {
		if err := goldenjson.Check(goldenFile(name), pointer); err != nil {
			t.Errorf("%T: %v", pointer, err)
		}
	}
}

// A control state without acts is written byte for byte as the build before them wrote it.
func TestGoldenControlStateWithoutActs(t *testing.T) {
	controlState := state.New()
	must(t, goldenjson.Fill(controlState))
	must(t, controlState.Requests.UnmarshalJSON([]byte(`{"forgotten":7,"packed":"AgEAAQIDBAUGBwgJCgsMDQ4P"}`)))
	controlState.Acts = exclusive.Table{}
	filled, err := json.Marshal(controlState)
	must(t, err)
	zero, err := json.Marshal(&state.State{})
	must(t, err)
	if err := goldenjson.CheckBytes(goldenFile("control-state.json"), bytes.Join([][]byte{filled, zero}, []byte("\n"))); err != nil {
		t.Error(err)
	}
}

// A batch without its route's ID, and its status, are written byte for byte as the build before the IDs wrote them.
func TestGoldenBatchesWithoutRouteIDs(t *testing.T) {
	var batch shard.Batch
	var status batchstore.BatchStatus
	must(t, goldenjson.Fill(&batch))
	must(t, goldenjson.Fill(&status))
	batch.RouteID, status.RouteID = "", ""
	for name, values := range map[string][2]any{
		"batch.json":        {batch, shard.Batch{}},
		"batch-status.json": {status, batchstore.BatchStatus{}},
	} {
		filled, err := json.Marshal(values[0])
		must(t, err)
		zero, err := json.Marshal(values[1])
		must(t, err)
		if err := goldenjson.CheckBytes(goldenFile(name), bytes.Join([][]byte{filled, zero}, []byte("\n"))); err != nil {
			t.Error(err)
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

// batchEntry fills the entry of a batch, changes it and encodes it.
func batchEntry(t *testing.T, changes ...func(batch *shard.Batch)) []byte {
	t.Helper()
	var entry shard.SubmitBatch
	must(t, goldenjson.Fill(&entry))
	for _, change := range changes {
		change(&entry.Batch)
	}
	return shard.Encode(entry)
}

// withoutBodies is a batch that is handed in without the body of a request.
func withoutBodies(batch *shard.Batch) { batch.Items[0].Request.Body = nil }

// withoutRouteID is a batch of the builds before routes had IDs.
func withoutRouteID(batch *shard.Batch) { batch.RouteID = "" }

// wholeConfiguration is a configuration that was put whole, not by a patch.
func wholeConfiguration(t *testing.T) []byte {
	t.Helper()
	var entry state.PutConfiguration
	must(t, goldenjson.Fill(&entry))
	entry.RequestDigest = nil
	return state.Encode(entry)
}

// Each change is written byte for byte as the earlier build wrote it.
func TestGoldenEntries(t *testing.T) {
	for name, data := range map[string][]byte{
		"control-found.json":      controlEntry[state.Bootstrap](t),
		"control-enrol.json":      controlEntry[state.RegisterStore](t),
		"control-retire.json":     controlEntry[state.Retire](t),
		"control-pair.json":       controlEntry[state.AssignShards](t),
		"control-put-plan.json":   wholeConfiguration(t),
		"control-patch.json":      controlEntry[state.PutConfiguration](t),
		"control-acts.json":       controlEntry[state.UpdateActs](t),
		"shard-enrol.json":        batchEntry(t, withoutBodies, withoutRouteID),
		"shard-enrol-with-bodies": batchEntry(t, withoutRouteID),
		"shard-enrol-route-id":    batchEntry(t),
		"shard-list.json":         shardEntry[shard.ListResult](t),
		"shard-end.json":          shardEntry[shard.EndBatch](t),
		"shard-claim.json":        shardEntry[shard.BeginClaim](t),
		"shard-settle.json":       shardEntry[shard.CompleteClaim](t),
		"shard-forget.json":       shardEntry[shard.Purge](t),
	} {
		if err := goldenjson.CheckBytes(goldenFile(name), data); err != nil {
			t.Error(err)
		}
	}
}

// The parts of a shard's snapshot are written byte for byte as the earlier build wrote them.
func TestGoldenShardSnapshot(t *testing.T) {
	var batch shard.Batch
	var claim shard.Claim
	var span shard.Ownership
	for _, pointer := range []any{&batch, &claim, &span} {
		must(t, goldenjson.Fill(pointer))
	}
	earlier := batch
	withoutRouteID(&earlier)
	for name, batch := range map[string]*shard.Batch{"shard-snapshot": &earlier, "shard-snapshot-route-id": &batch} {
		filled := shard.New()
		filled.Batches[batch.ID], filled.Claims[claim.Key] = batch, &claim
		filled.LastPositions, filled.Ownerships = map[int]int64{3: 9}, []shard.Ownership{span}
		if err := goldenjson.CheckBytes(goldenFile(name), bytes.Join(filled.LocalParts(), []byte("\n"))); err != nil {
			t.Error(err)
		}
	}
}

// The count of failed attempts, which a later release added, is read from a snapshot and an entry as
// they were first written.
func TestFailedAttemptsAreReadBack(t *testing.T) {
	state, err := shard.Restore([][]byte{[]byte(`{"last":{"3":9},"failed_attempts":{"lot":{"2":1}}}`)})
	must(t, err)
	state.Batches["lot"] = &shard.Batch{ID: "lot", State: shard.Open, Items: make([]shard.Item, 3)}
	entry, err := shard.Decode([]byte(`{"k":"record-failure","b":{"Bundle":"lot","Item":2}}`))
	must(t, err)
	entry.Apply(state)
	if got := state.FailedAttempts["lot"][2]; got != 2 {
		t.Errorf("%d failed attempts, not 2", got)
	}
}
