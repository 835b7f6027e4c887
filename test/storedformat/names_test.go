package storedformat

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/discovery"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/replication"
)

// The spellings that stand in stored records, in updates and in what callers carry.
func TestStoredSpellings(t *testing.T) {
	for _, one := range []struct{ got, want string }{
		{state.MapKey, "map"}, {state.ConfigurationKey, "plan"}, {state.CoreKey, "core"},
		{discovery.LastReadKey, "lookout"},
		{endpoints.ServerKey("x"), "server/x"}, {endpoints.LoadKey("x"), "load/x"},
		{membership.Key("x"), "daemon/x"}, {token.Key(7), "writer/7"}, {batchstore.Unit(7), "slot/007"},
		{membership.Edge, "trailhead"}, {membership.Store, "refuge"}, {membership.Core, "cairn"},
		{replication.KindSnapshot, "copy"}, {replication.KindEntry, "entry"}, {replication.KindDrop, "drop"}, {replication.KindAdopt, "adopt"},
		{string(shard.Open), "open"}, {string(shard.Done), "done"}, {string(shard.Ended), "ended"},
		{shard.StatusOK, "ok"}, {shard.StatusFailed, "failed"},
		{shard.Claimed, "claimed"}, {shard.Answered, "answered"}, {shard.Voided, "turned-away"},
		{shard.ClaimID("customer", "key"), "c-9b8c40d8ebb17b0eb77924fe"}, {shard.BatchID("customer", "key"), "b-9b8c40d8ebb17b0eb77924fe"},
		{shard.Hash("a", "bc"), "5310a58788781ab25d5ad7c3"},
		{token.NewToken("fleet", token.Vector{1: 5, 2: 9}).String(), "AeMgOy8FAgECBPxrESw"},
	} {
		if one.got != one.want {
			t.Errorf("spelt %q, not %q", one.got, one.want)
		}
	}
	for id, want := range map[string]int{"b-1": 17, "raw-open": 10, "c-1": 18} {
		if got := shard.ShardOf(id, 24); got != want {
			t.Errorf("%s belongs to shard %d, not %d", id, got, want)
		}
	}
}
