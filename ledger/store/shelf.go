package store

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
)

// Memory is bounded by open work (DESIGN §6.7): a settled bundle's rows lie in
// files of their own and are read back when somebody asks.

// Shelf is where settled bundles lie on this daemon's disk.
type Shelf interface {
	Get(file uint64, unit string) ([]byte, error)
	Held() []uint64
	Top() uint64
}

const (
	shelfPack  = 256 << 10 // bytes of bundles in one file, about
	shelfBatch = 256       // bundles looked at in one round
)

// settleDown packs settled bundles of whole pairs into a file. They are let go
// only once it is on disk; the entries that made them stay on disk until a view
// refers to the file.
func (k *Store) settleDown() {
	var pack []*shard.Bundle
	size := 0
	for _, group := range k.groups.All() {
		quiet := group.Role == replication.Serving && group.Open() == 0 || group.Role == replication.Backing && group.Durable == group.Seq
		if !quiet {
			continue
		}
		state := k.place(group.Unit).state
		for _, id := range sortedBundles(state) {
			bundle := state.Bundles[id]
			if !bundle.Settled() || len(pack) >= shelfBatch || size >= shelfPack {
				continue
			}
			pack = append(pack, bundle)
			for _, row := range bundle.Rows {
				size += len(row.Output) + 128
			}
		}
	}
	if len(pack) == 0 {
		return
	}
	k.file++
	file := k.file
	records := make([]machine.Record, len(pack))
	for i, bundle := range pack {
		bundle.Move()
		records[i] = machine.Record{Unit: bundle.ID, Kind: kindBundle, Body: bundle.Encode()}
	}
	token := k.groups.Await(func(_ clock.Micros) {
		for _, bundle := range pack {
			bundle.Shelve(file)
		}
		k.Shelved += int64(len(pack))
	})
	k.Emit(machine.Shelve{Token: token, File: file, Records: records})
}

// whole reads a shelved bundle back. A file that can't be read is damage: the
// keeper says so and stops, so that its pair's other end serves.
func (k *Store) whole(b *shard.Bundle) *shard.Bundle {
	data, err := k.shelf.Get(b.Shelved.File, b.ID)
	if err == nil {
		var found *shard.Bundle
		if found, err = shard.Unshelved(data); err == nil {
			return found
		}
	}
	k.BadRecord = err
	if k.Damaged != nil {
		k.Damaged(err)
	}
	return b
}

// rows are a bundle's rows after a vector, read back only where there are any.
func (k *Store) rows(b *shard.Bundle, after func(writer int) int64) []shard.Row {
	if b.Shelved == nil {
		return b.Rows
	}
	for writer, last := range b.Shelved.Last {
		if last > after(writer) {
			return k.whole(b).Rows
		}
	}
	return nil
}

// sweep removes shelf files that no bundle refers to any more. At the start it
// is told what there is; later it looks only for what it put there itself.
func (k *Store) sweep(held []uint64) {
	for _, file := range held {
		k.files[file] = true
	}
	used := map[uint64]bool{}
	moving := false
	for _, unit := range sortedKeys(k.places) {
		for _, bundle := range k.places[unit].state.Bundles {
			if bundle.Shelved != nil {
				used[bundle.Shelved.File] = true
			}
			moving = moving || bundle.Moving()
		}
	}
	if moving {
		return
	}
	var unused []uint64
	for _, file := range sortedKeys(k.files) {
		if !used[file] {
			unused = append(unused, file)
			delete(k.files, file)
		}
	}
	if len(unused) > 0 {
		k.Emit(machine.Unshelve{Files: unused})
	}
	for file := range used {
		k.files[file] = true
	}
}
