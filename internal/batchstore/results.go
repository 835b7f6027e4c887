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
	Server string // "" where none ran it
}

// Apply lists the result, or keeps it until that is possible.
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

// Apply records the failure with the item, for the shard's next owner. Where this store doesn't serve
// the shard, the failure is lost: nobody starts the item here again.
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

// listPendingResults lists results as far as their groups serve and positions are reserved;
// the others wait.
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

// listResult gives a result the next position and appends its entry. It returns false if
// the result has to wait. A result that this store can't list any more is dropped:
// another store runs the item, or the item needs none.
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

// reservePositions writes the next reservation when it is due. Without a writer ID there is
// no sequence of positions yet.
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

// finishOrphans finishes positions of a shard that moved, now that an owner of the epoch
// serves it.
func (s *Store) finishOrphans(shardIndex int, ownerEpoch uint64) {
	if s.positions.finishOrphans(shardIndex, ownerEpoch) {
		s.announcer.requestPositionAnnouncement()
	}
}
