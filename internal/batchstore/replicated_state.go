package batchstore

import (
	"sort"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// This file is what the replication group asks of the store that holds its state.

// Snapshot is the shard's whole state for a copy.
func (k *Store) Snapshot(unit string) [][]byte { return k.shard(unit).state.Snapshot(k.unarchive) }

// LocalSnapshot is its state for this daemon's own disk.
func (k *Store) LocalSnapshot(unit string) [][]byte { return k.shard(unit).state.Snapshot(nil) }

// Restore replaces a shard's state.
func (k *Store) Restore(unit string, parts [][]byte) {
	state, err := shard.Restore(parts)
	if err != nil {
		k.BadRecord = err
		return
	}
	k.shard(unit).state = state
}

// ApplyEntry applies an entry on the backup or when read back.
func (k *Store) ApplyEntry(unit string, data []byte) {
	entry, err := shard.Decode(data)
	if err != nil {
		k.BadRecord = err
		return
	}
	entry.Apply(k.shard(unit).state)
}

// Confirmed answers who waits, finishes the position and starts new work.
func (k *Store) Confirmed(unit string, seq uint64, _ clock.Micros) {
	k.EntriesConfirmed++
	if position, ok := k.assignedPositions[unit][seq]; ok {
		delete(k.assignedPositions[unit], seq)
		k.positions.Finish(position)
		k.announceNeeded = true
	}
	if batch, ok := k.submittedBatches[unit][seq]; ok {
		delete(k.submittedBatches[unit], seq)
		k.startItems(unit, batch)
	}
	for _, w := range k.pendingCalls[unit][seq] {
		k.Emit(machine.Reply{Call: w.call, Body: w.answer})
	}
	delete(k.pendingCalls[unit], seq)
}

// startItems hands a batch's open items to the path.
func (k *Store) startItems(unit, id string) {
	p := k.shard(unit)
	batch := p.state.Batches[id]
	if batch == nil || batch.State != shard.Open {
		return
	}
	epoch := k.groups.Group(unit).Epoch
	for i, item := range batch.Items {
		if !batch.HasResult(i) {
			k.Emit(machine.Execute{Task: RunItem{Shard: p.shard, Epoch: epoch, Batch: id, Item: i,
				Tenant: batch.Tenant, Route: batch.Route, ItemID: item.ID, Input: item.Input, Request: item.Request, SubmittedAt: batch.SubmittedAt, ConfigurationVersion: batch.ConfigurationVersion}})
		}
	}
}

// GroupReady tells the cores that a copy is on two disks.
func (k *Store) GroupReady(_ string, _ uint64, now clock.Micros) { k.sendHeartbeats(now) }

// Deposed says "outcome unknown" to who waits and leaves the shard's unfinished
// positions open until its new owner has settled.
func (k *Store) Deposed(unit string, epoch uint64, now clock.Micros) {
	k.failPendingCalls(unit, "the slot passed to another keeper")
	k.rememberFormerShard(unit, now)
	shard := shardOfUnit(unit)
	var positions []int64
	for _, position := range k.assignedPositions[unit] {
		positions = append(positions, position)
	}
	delete(k.assignedPositions, unit)
	delete(k.submittedBatches, unit)
	if len(positions) > 0 {
		sort.Slice(positions, func(i, j int) bool { return positions[i] < positions[j] })
		k.orphanedPositions = append(k.orphanedPositions, orphanedPositions{shard: shard, epoch: epoch, positions: positions})
	}
	k.Emit(machine.Execute{Task: CancelItems{Shard: shard}})
	k.Emit(machine.LogEvent{Event: ShardHandedOver{Shard: shard, UnfinishedPositions: len(positions)}})
	k.announceNeeded = true
}

func (k *Store) failPendingCalls(unit, reason string) {
	for _, seq := range sortedKeys(k.pendingCalls[unit]) {
		for _, w := range k.pendingCalls[unit][seq] {
			k.replyUnknown(w.call, reason)
		}
	}
	delete(k.pendingCalls, unit)
}

func (k *Store) replyUnknown(call uint64, reason string) {
	k.UnknownOutcomes++
	k.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "ask again with the same idempotency key", "it is not known whether this was made durable: %s", reason)})
}
