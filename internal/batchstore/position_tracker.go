package batchstore

import (
	"tuliprudder/internal/batchstore/positions"
	"tuliprudder/internal/machine"
)

// positionTracker tracks each position of this writer from its allocation until it is finished. Only
// then may the persisted-up-to position advance past it (docs/DESIGN.md §6.2, §6.6).
type positionTracker struct {
	*positions.Allocator
	reserving bool           // whether a reservation is being written
	assigned  byEntry[int64] // positions of results whose entries are not durable yet
	orphaned  []orphanedPositions
}

// orphanedPositions are the positions whose entries were not durable when their shard moved to
// another store. The new owner decides whether their results are part of the shard.
type orphanedPositions struct {
	shard     int
	epoch     uint64 // under which this store was the shard's primary
	positions []int64
}

func newPositionTracker(reservedUpTo int64) positionTracker {
	return positionTracker{Allocator: positions.New(reservedUpTo), assigned: byEntry[int64]{}}
}

// beginReservation returns the highest position of the reservation to be written now. It returns false
// if enough positions are reserved or a reservation is already being written.
func (p *positionTracker) beginReservation() (upTo int64, needed bool) {
	upTo = p.NextReservation()
	if upTo == 0 || p.reserving {
		return 0, false
	}
	p.reserving = true
	return upTo, true
}

// completeReservation records that a reservation is durable.
func (p *positionTracker) completeReservation(upTo int64) {
	p.reserving = false
	p.ConfirmReservation(upTo)
}

// assign records the position of the result in an entry.
func (p *positionTracker) assign(unit string, seq uint64, position int64) {
	p.assigned.put(unit, seq, position)
}

// finishEntry finishes the position of an entry that has become durable, and reports whether the entry
// had one.
func (p *positionTracker) finishEntry(unit string, seq uint64) bool {
	position, ok := p.assigned.take(unit, seq)
	if ok {
		p.Finish(position)
	}
	return ok
}

// orphan marks the unfinished positions of a shard that has moved to another store, and returns how
// many there are. They stay unfinished until the new owner serves the shard (finishOrphans).
func (p *positionTracker) orphan(unit string, epoch uint64) int {
	assigned := p.assigned.takeUnit(unit)
	if len(assigned) > 0 {
		p.orphaned = append(p.orphaned, orphanedPositions{shard: shardOfUnit(unit), epoch: epoch, positions: assigned})
	}
	return len(assigned)
}

// hasOrphans reports whether any position waits for a new owner of its shard.
func (p *positionTracker) hasOrphans() bool { return len(p.orphaned) > 0 }

// finishOrphans finishes the positions of a shard that were orphaned under an epoch lower than
// ownerEpoch, the epoch of an owner that serves the shard. It reports whether there were any.
func (p *positionTracker) finishOrphans(shardIndex int, ownerEpoch uint64) bool {
	finished := false
	remaining := p.orphaned[:0]
	for _, orphans := range p.orphaned {
		if orphans.shard != shardIndex || ownerEpoch <= orphans.epoch {
			remaining = append(remaining, orphans)
			continue
		}
		for _, position := range orphans.positions {
			p.Finish(position)
		}
		finished = true
	}
	p.orphaned = remaining
	return finished
}

// reservationRecord returns the record that makes a reservation durable.
func reservationRecord(upTo int64) machine.Record {
	return machine.Record{Unit: unitSelf, Kind: kindReserved, Seq: uint64(upTo)}
}
