package batchstore

import (
	"cmp"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// This file gives results their positions and lists them (DESIGN §6.2).

func sortedBatches(s *shard.State) []string { return sortedKeys(s.Batches) }

// sortedKeys gives a map an order, so that the same inputs have the same
// effects in the same order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// ItemFinished is the path's word that an item has its result.
type ItemFinished struct {
	Shard  int
	Batch  string
	Item   int
	Status string
	Output string
	Server string
}

// Apply gives the result its position and lists it.
func (r ItemFinished) Apply(k *Store, now clock.Micros) {
	k.pendingResults = append(k.pendingResults, pendingResult{shard: r.Shard, result: shard.Result{Batch: r.Batch, Item: r.Item, Status: r.Status, Output: r.Output, Server: r.Server}})
	k.listPendingResults(now)
}

// listPendingResults lists held results as far as pairs serve and positions are reserved.
func (k *Store) listPendingResults(now clock.Micros) {
	if len(k.pendingResults) == 0 {
		return
	}
	pending := k.pendingResults
	k.pendingResults = nil
	for _, f := range pending {
		unit := Unit(f.shard)
		group := k.groups.Group(unit)
		batch := k.shard(unit).state.Batches[f.result.Batch]
		if !group.IsPrimary() || batch == nil || batch.State != shard.Open || f.result.Item < 0 || f.result.Item >= len(batch.Items) || batch.HasResult(f.result.Item) {
			continue // another store runs it, or it needs no row any more
		}
		if group.Role != replication.Serving {
			k.pendingResults = append(k.pendingResults, f)
			continue
		}
		position, ok := k.positions.Allocate()
		if !ok {
			k.reservePositions()
			k.pendingResults = append(k.pendingResults, f)
			continue
		}
		result := f.result
		result.Writer, result.Position, result.ItemID = k.writer, position, batch.Items[result.Item].ID
		seq := k.appendEntry(unit, shard.ListResult{Result: result}, now)
		if k.SkipDurability {
			k.positions.Finish(position)
			k.announceNeeded = true
		} else {
			if k.assignedPositions[unit] == nil {
				k.assignedPositions[unit] = map[uint64]int64{}
			}
			k.assignedPositions[unit][seq] = position
		}
		k.ResultsListed++
	}
	k.reservePositions()
}

// appendEntry applies an entry and appends it; the caller has seen the pair serve.
func (k *Store) appendEntry(unit string, entry shard.Entry, now clock.Micros) uint64 {
	data := shard.Encode(entry)
	entry.Apply(k.shard(unit).state)
	seq, _ := k.groups.Append(unit, data, now)
	return seq
}

func (k *Store) replyWhenConfirmed(unit string, seq, call uint64, deadline clock.Micros, answer any) {
	if k.pendingCalls[unit] == nil {
		k.pendingCalls[unit] = map[uint64][]pendingCall{}
	}
	k.pendingCalls[unit][seq] = append(k.pendingCalls[unit][seq], pendingCall{call: call, deadline: deadline, answer: answer})
}
