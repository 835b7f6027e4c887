package batchstore

import (
	"maps"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// RunItem is the task of running one item on a server. It is emitted repeatedly until the item has its
// result, so the executor must ignore items that it already has.
type RunItem struct {
	Shard                int
	Epoch                uint64
	Batch                string
	Item                 int            // index in the batch
	Tenant               string         // "" for none
	Route                string         // its name when the batch was submitted
	RouteID              config.RouteID // "" if the batch was accepted by a release that stored only the name
	ItemID               string
	Input                string
	Request              *shard.Request // forwarded unchanged; nil if the item has an input
	SubmittedAt          clock.Micros
	ConfigurationVersion uint64 // the version in effect when the batch was submitted
	FailedAttempts       int    // attempts that failed at a server, including those under earlier owners of the shard
}

// RouteReference refers to the item's route.
func (i RunItem) RouteReference() config.RouteReference {
	return shard.NewRouteReference(i.RouteID, i.Route, i.ConfigurationVersion, i.Request)
}

// CancelItems is the task of cancelling all unfinished items of a batch or of a shard.
type CancelItems struct {
	Batch string
	Shard int // -1 to cancel the items of Batch
}

// MayStart reports whether this store may start an item on a server: it is the shard's primary under a
// valid lease, and the item still needs a result. It is checked right before the item starts.
func (s *Store) MayStart(shardIndex int, batchID string, item int, now clock.Micros) bool {
	unit := Unit(shardIndex)
	group := s.groups.Group(unit)
	if group.Role != replication.Serving || now >= group.LeaseUntil() {
		return false
	}
	batch := s.shard(unit).state.Batches[batchID]
	return batch != nil && batch.State == shard.Open && !batch.HasResult(item)
}

// startItems emits a RunItem task for each item of an open batch that has no result.
func (s *Store) startItems(unit, batchID string) {
	local := s.shard(unit)
	batch := local.state.Batches[batchID]
	if batch == nil || batch.State != shard.Open {
		return
	}
	epoch := s.groups.Group(unit).Epoch
	for i, item := range batch.Items {
		if batch.HasResult(i) {
			continue
		}
		s.Emit(machine.Execute{Task: RunItem{
			Shard:                local.index,
			Epoch:                epoch,
			Batch:                batchID,
			Item:                 i,
			Tenant:               batch.TenantName(),
			Route:                batch.Route,
			RouteID:              batch.RouteID,
			ItemID:               item.ID,
			Input:                item.Input,
			Request:              item.Request,
			SubmittedAt:          batch.SubmittedAt,
			ConfigurationVersion: batch.ConfigurationVersion,
			FailedAttempts:       local.state.FailedAttempts[batchID][i],
		}})
	}
}

// startShardItems calls startItems for all batches of a shard.
func (s *Store) startShardItems(unit string) {
	for _, id := range sortedBatchIDs(s.shard(unit).state) {
		s.startItems(unit, id)
	}
}

// resumeItems emits the tasks of the items without a result again, because some may have been dropped
// while the lease was not valid or a queue was full.
func (s *Store) resumeItems() {
	for _, group := range s.groups.All() {
		if group.Role == replication.Serving && group.Unconfirmed() == 0 {
			s.startShardItems(group.Unit)
		}
	}
}

// sortedBatchIDs returns the IDs of a shard's batches in a deterministic order.
func sortedBatchIDs(state *shard.State) []string { return slices.Sorted(maps.Keys(state.Batches)) }
