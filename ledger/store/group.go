package store

import (
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/shard"
)

// This file is what the replication group asks of the store that holds its state.

// View is the slot's whole state for a copy.
func (k *Store) View(unit string) [][]byte { return k.place(unit).state.View(k.whole) }

// Brief is its state for this daemon's own disk.
func (k *Store) Brief(unit string) [][]byte { return k.place(unit).state.View(nil) }

// Restore replaces a slot's state.
func (k *Store) Restore(unit string, parts [][]byte) {
	state, err := shard.Restore(parts)
	if err != nil {
		k.BadRecord = err
		return
	}
	k.place(unit).state = state
}

// Play applies an entry on the backup or when read back.
func (k *Store) Play(unit string, data []byte) {
	entry, err := shard.Decode(data)
	if err != nil {
		k.BadRecord = err
		return
	}
	entry.Apply(k.place(unit).state)
}

// Confirmed answers who waits, finishes the position and starts new work.
func (k *Store) Confirmed(unit string, seq uint64, _ clock.Micros) {
	k.Entries++
	if position, ok := k.given[unit][seq]; ok {
		delete(k.given[unit], seq)
		k.positions.Finish(position)
		k.dirty = true
	}
	if bundle, ok := k.news[unit][seq]; ok {
		delete(k.news[unit], seq)
		k.start(unit, bundle)
	}
	for _, w := range k.waits[unit][seq] {
		k.Emit(machine.Answer{Call: w.call, Body: w.answer})
	}
	delete(k.waits[unit], seq)
}

// start hands a bundle's open items to the path.
func (k *Store) start(unit, id string) {
	p := k.place(unit)
	bundle := p.state.Bundles[id]
	if bundle == nil || bundle.State != shard.Open {
		return
	}
	epoch := k.groups.Group(unit).Epoch
	for i, item := range bundle.Items {
		if !bundle.Listed(i) {
			k.Emit(machine.Work{Order: ItemOrder{Slot: p.slot, Epoch: epoch, Bundle: id, Item: i,
				Customer: bundle.Customer, Route: bundle.Route, ItemID: item.ID, Input: item.Input, Request: item.Request, Enrolled: bundle.Enrolled, Plan: bundle.Plan}})
		}
	}
}

// Ready tells the cores that a copy is on two disks.
func (k *Store) Ready(_ string, _ uint64, now clock.Micros) { k.beat(now) }

// Deposed says "outcome unknown" to who waits and leaves the slot's unfinished
// positions open until its new owner has settled.
func (k *Store) Deposed(unit string, epoch uint64, now clock.Micros) {
	k.lose(unit, "the slot passed to another keeper")
	k.leave(unit, now)
	slot := slotOf(unit)
	var positions []int64
	for _, position := range k.given[unit] {
		positions = append(positions, position)
	}
	delete(k.given, unit)
	delete(k.news, unit)
	if len(positions) > 0 {
		sort.Slice(positions, func(i, j int) bool { return positions[i] < positions[j] })
		k.orphans = append(k.orphans, orphan{slot: slot, epoch: epoch, positions: positions})
	}
	k.Emit(machine.Work{Order: Revoke{Slot: slot}})
	k.Emit(machine.Explain{What: "slot passed on", Fields: map[string]any{"slot": slot, "unfinished": len(positions)}})
	k.dirty = true
}

func (k *Store) lose(unit, why string) {
	for _, seq := range sortedKeys(k.waits[unit]) {
		for _, w := range k.waits[unit][seq] {
			k.unknown(w.call, why)
		}
	}
	delete(k.waits, unit)
}

func (k *Store) unknown(call uint64, why string) {
	k.Unknown++
	k.Emit(machine.Answer{Call: call, Err: errs.Later(errs.OutcomeUnknown, clock.Second, "ask again with the same idempotency key", "it is not known whether this was made durable: %s", why)})
}
