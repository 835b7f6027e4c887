package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// ItemFinished is the outcome of an item's run.
type ItemFinished struct {
	Shard  int
	Batch  string
	Item   int    // index in the batch
	Status string // shard.StatusOK or shard.StatusFailed
	Output string
	Server string // "" if no server ran the item
}

// Apply lists the result, or keeps it until it can be listed.
func (r ItemFinished) Apply(s *Store, now clock.Micros) {
	result := shard.Result{
		Batch:  r.Batch,
		Item:   r.Item,
		Status: r.Status,
		Output: r.Output,
		Server: r.Server,
	}
	s.pendingResults = append(s.pendingResults, pendingResult{shard: r.Shard, result: result})
	s.listPendingResults(now)
}

// AttemptFailed reports that a server failed an attempt of a forwarded item.
type AttemptFailed struct {
	Shard int
	Batch string
	Item  int // index in the batch
}

// Apply records the failure in the shard's state, so that the next owner knows of it. If this store does
// not serve the shard, the failure is dropped, because the item is not started from here again.
func (f AttemptFailed) Apply(s *Store, now clock.Micros) {
	unit := Unit(f.Shard)
	batch := s.shard(unit).state.Batches[f.Batch]
	if s.groups.Group(unit).Role != replication.Serving || batch == nil || !batch.AwaitsResult(f.Item) {
		return
	}
	s.appendEntry(unit, shard.RecordFailure{Batch: f.Batch, Item: f.Item}, now)
}

// pendingResult is a result that has no position yet.
type pendingResult struct {
	shard  int
	result shard.Result
}

// listPendingResults lists the pending results whose groups serve, as far as positions are reserved. The
// others stay pending.
func (s *Store) listPendingResults(now clock.Micros) {
	if len(s.pendingResults) == 0 {
		return
	}
	pending := s.pendingResults
	s.pendingResults = nil
	for _, result := range pending {
		if !s.listResult(result, now) {
			s.pendingResults = append(s.pendingResults, result)
		}
	}
	s.reservePositions()
}

// listResult allocates the next position for a result and appends its entry. It returns false if the
// result has to wait. A result that this store can no longer list is dropped and counts as handled:
// another store runs the item, or the item needs no result.
func (s *Store) listResult(pending pendingResult, now clock.Micros) (handled bool) {
	unit := Unit(pending.shard)
	group := s.groups.Group(unit)
	result := pending.result
	batch := s.shard(unit).state.Batches[result.Batch]
	if !group.IsPrimary() || batch == nil || !batch.AwaitsResult(result.Item) {
		return true
	}
	if group.Role != replication.Serving {
		return false
	}
	position, ok := s.positions.Allocate()
	if !ok {
		return false
	}
	result.Writer = s.identity.Writer
	result.Position = position
	result.ItemID = batch.Items[result.Item].ID
	seq := s.appendEntry(unit, shard.ListResult{Result: result}, now)
	s.ResultsRecorded++
	if s.InjectedFaults.SkipDurability {
		s.positions.Finish(position)
		s.announcer.requestPositionAnnouncement()
		return true
	}
	s.positions.assign(unit, seq, position)
	return true
}

// reservePositions writes the next reservation of positions if it is due. A store that has no writer ID
// yet has no positions to reserve.
func (s *Store) reservePositions() {
	if s.identity.Writer == 0 {
		return
	}
	upTo, needed := s.positions.beginReservation()
	if !needed {
		return
	}
	s.groups.Persist([]machine.Record{reservationRecord(upTo)}, func(now clock.Micros) {
		s.positions.completeReservation(upTo)
		s.listPendingResults(now)
	})
}

// finishOrphans finishes the orphaned positions of a shard that has moved, because an owner serves it
// under the given epoch.
func (s *Store) finishOrphans(shardIndex int, ownerEpoch uint64) {
	if s.positions.finishOrphans(shardIndex, ownerEpoch) {
		s.announcer.requestPositionAnnouncement()
	}
}
