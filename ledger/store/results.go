package store

import (
	"cmp"
	"slices"

	"tuliprudder/kernel/clock"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
)

// This file gives results their positions and lists them (DESIGN §6.2).

func sortedBundles(s *shard.Slot) []string { return sortedKeys(s.Bundles) }

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

// Ran is the path's word that an item has its result.
type Ran struct {
	Slot   int
	Bundle string
	Item   int
	Status string
	Output string
	Server string
}

// Apply gives the result its position and lists it.
func (r Ran) Apply(k *Store, now clock.Micros) {
	k.held = append(k.held, finished{slot: r.Slot, row: shard.Row{Bundle: r.Bundle, Item: r.Item, Status: r.Status, Output: r.Output, Server: r.Server}})
	k.flush(now)
}

// flush lists held results as far as pairs serve and positions are reserved.
func (k *Store) flush(now clock.Micros) {
	if len(k.held) == 0 {
		return
	}
	held := k.held
	k.held = nil
	for _, f := range held {
		unit := Unit(f.slot)
		group := k.groups.Group(unit)
		bundle := k.place(unit).state.Bundles[f.row.Bundle]
		if !group.Leads() || bundle == nil || bundle.State != shard.Open || f.row.Item < 0 || f.row.Item >= len(bundle.Items) || bundle.Listed(f.row.Item) {
			continue // another keeper runs it, or it needs no row any more
		}
		if group.Role != replication.Serving {
			k.held = append(k.held, f)
			continue
		}
		position, ok := k.positions.Allocate()
		if !ok {
			k.reserve()
			k.held = append(k.held, f)
			continue
		}
		row := f.row
		row.Writer, row.Position, row.ItemID = k.writer, position, bundle.Items[row.Item].ID
		seq := k.put(unit, shard.List{Row: row}, now)
		if k.EarlyAnnounce {
			k.positions.Finish(position)
			k.dirty = true
		} else {
			if k.given[unit] == nil {
				k.given[unit] = map[uint64]int64{}
			}
			k.given[unit][seq] = position
		}
		k.Listed++
	}
	k.reserve()
}

// put applies an entry and appends it; the caller has seen the pair serve.
func (k *Store) put(unit string, entry shard.Entry, now clock.Micros) uint64 {
	data := shard.Encode(entry)
	entry.Apply(k.place(unit).state)
	seq, _ := k.groups.Append(unit, data, now)
	return seq
}

func (k *Store) await(unit string, seq, call uint64, expiry clock.Micros, answer any) {
	if k.waits[unit] == nil {
		k.waits[unit] = map[uint64][]waiting{}
	}
	k.waits[unit][seq] = append(k.waits[unit][seq], waiting{call: call, expiry: expiry, answer: answer})
}
