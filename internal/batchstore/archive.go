package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Memory is bounded by open work (DESIGN §6.7): a settled batch's rows lie in
// files of their own and are read back when somebody asks.

// Archive is where settled batches lie on this daemon's disk.
type Archive interface {
	Get(file uint64, unit string) ([]byte, error)
	Files() []uint64
	LastFile() uint64
}

const (
	archiveFileSize   = 256 << 10 // bytes of batches in one file, about
	archiveBatchLimit = 256       // batches looked at in one round
)

// archiveFinished packs settled batches of whole pairs into a file. They are let go
// only once it is on disk; the entries that made them stay on disk until a view
// refers to the file.
func (k *Store) archiveFinished() {
	var pack []*shard.Batch
	size := 0
	for _, group := range k.groups.All() {
		quiet := group.Role == replication.Serving && group.Unconfirmed() == 0 || group.Role == replication.Replicating && group.SyncedSeq == group.Seq
		if !quiet {
			continue
		}
		state := k.shard(group.Unit).state
		for _, id := range sortedBatches(state) {
			batch := state.Batches[id]
			if !batch.IsArchivable() || len(pack) >= archiveBatchLimit || size >= archiveFileSize {
				continue
			}
			pack = append(pack, batch)
			for _, result := range batch.Results {
				size += len(result.Output) + 128
			}
		}
	}
	if len(pack) == 0 {
		return
	}
	k.lastArchiveFile++
	file := k.lastArchiveFile
	records := make([]machine.Record, len(pack))
	for i, batch := range pack {
		batch.BeginArchiving()
		records[i] = machine.Record{Unit: batch.ID, Kind: kindBatch, Body: batch.EncodeForArchive()}
	}
	token := k.groups.RegisterWrite(func(_ clock.Micros) {
		for _, batch := range pack {
			batch.CompleteArchiving(file)
		}
		k.BatchesArchived += int64(len(pack))
	})
	k.Emit(machine.Archive{Token: token, File: file, Records: records})
}

// unarchive reads a shelved batch back. A file that can't be read is damage: the
// store says so and stops, so that its pair's other end serves.
func (k *Store) unarchive(b *shard.Batch) *shard.Batch {
	data, err := k.archive.Get(b.Archived.File, b.ID)
	if err == nil {
		var batch *shard.Batch
		if batch, err = shard.DecodeArchived(data); err == nil {
			return batch
		}
	}
	k.BadRecord = err
	if k.OnDamage != nil {
		k.OnDamage(err)
	}
	return b
}

// resultsAfter are a batch's rows after a vector, read back only where there are any.
func (k *Store) resultsAfter(b *shard.Batch, after func(writer int) int64) []shard.Result {
	if b.Archived == nil {
		return b.Results
	}
	for writer, last := range b.Archived.LastPositions {
		if last > after(writer) {
			return k.unarchive(b).Results
		}
	}
	return nil
}

// deleteUnusedArchives removes shelf files that no batch refers to any more. At the start it
// is told what there is; later it looks only for what it put there itself.
func (k *Store) deleteUnusedArchives(pending []uint64) {
	for _, file := range pending {
		k.archiveFiles[file] = true
	}
	used := map[uint64]bool{}
	moving := false
	for _, unit := range sortedKeys(k.shards) {
		for _, batch := range k.shards[unit].state.Batches {
			if batch.Archived != nil {
				used[batch.Archived.File] = true
			}
			moving = moving || batch.IsBeingArchived()
		}
	}
	if moving {
		return
	}
	var unused []uint64
	for _, file := range sortedKeys(k.archiveFiles) {
		if !used[file] {
			unused = append(unused, file)
			delete(k.archiveFiles, file)
		}
	}
	if len(unused) > 0 {
		k.Emit(machine.DeleteArchive{Files: unused})
	}
	for file := range used {
		k.archiveFiles[file] = true
	}
}
