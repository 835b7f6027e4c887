package batchstore

import (
	"maps"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// The archive keeps a store's memory proportional to its unfinished work (docs/DESIGN.md §6.7). The
// items and results of finished batches are written to archive files and removed from memory. They
// are read back on demand.

// Archive reads the archive files on this daemon's disk. The effects machine.Archive and
// machine.DeleteArchive write and delete them.
type Archive interface {
	// Get returns the body of a unit's record. The unit is a batch ID here.
	Get(file uint64, unit string) ([]byte, error)
	// Files returns the numbers of the existing files.
	Files() []uint64
	// LastFile returns the highest file number ever used.
	LastFile() uint64
}

const (
	// archiveFileSize is the approximate size of a file, in bytes of encoded batches.
	archiveFileSize = 256 << 10
	// archiveBatchLimit is the maximum number of batches in a file.
	archiveBatchLimit = 256
	// maxArchiveFiles is the maximum number of files written in one pass of archiveFinished: twice
	// what a disk that writes 4 MB/s can take between two passes.
	maxArchiveFiles = 64
)

// archiver tracks the archive files.
type archiver struct {
	archive  Archive
	lastFile uint64
	files    map[uint64]bool // files on disk that may have to be deleted later
}

func newArchiver(archive Archive) archiver {
	a := archiver{archive: archive, lastFile: archive.LastFile(), files: map[uint64]bool{}}
	for _, file := range archive.Files() {
		a.files[file] = true
	}
	return a
}

// allocateFile returns the number for a new file.
func (a *archiver) allocateFile() uint64 {
	a.lastFile++
	a.files[a.lastFile] = true // deleted if no batch ever refers to it
	return a.lastFile
}

// readEncoded reads an archived batch in its encoded form.
func (a *archiver) readEncoded(batch *shard.Batch) ([]byte, error) {
	return a.archive.Get(batch.Archived.File, batch.ID)
}

// read reads and decodes an archived batch.
func (a *archiver) read(batch *shard.Batch) (*shard.Batch, error) {
	data, err := a.readEncoded(batch)
	if err != nil {
		return nil, err
	}
	return shard.DecodeArchived(data)
}

// takeUnused returns the files that are not in use and stops tracking them, so that it returns each
// file only once.
func (a *archiver) takeUnused(used map[uint64]bool) []uint64 {
	var unused []uint64
	for _, file := range slices.Sorted(maps.Keys(a.files)) {
		if !used[file] {
			unused = append(unused, file)
			delete(a.files, file)
		}
	}
	maps.Copy(a.files, used)
	return unused
}

// archiveFinished writes the finished batches of the shards whose entries are all durable to archive
// files, at most maxArchiveFiles of them.
func (s *Store) archiveFinished() {
	var batches []*shard.Batch
	for _, group := range s.groups.All() {
		if allEntriesDurable(group) {
			batches = append(batches, archivableBatches(s.shard(group.Unit).state)...)
		}
	}
	s.archiveBatches(batches, maxArchiveFiles)
}

// archiveInstalled archives all finished batches of a state that was received from another store.
func (s *Store) archiveInstalled(state *shard.State) {
	batches := archivableBatches(state)
	s.archiveBatches(batches, len(batches))
}

// archivableBatches returns the finished batches of a shard that are neither archived nor being
// archived, in the order of their IDs.
func archivableBatches(state *shard.State) []*shard.Batch {
	var batches []*shard.Batch
	for _, id := range sortedBatchIDs(state) {
		if batch := state.Batches[id]; batch.IsArchivable() {
			batches = append(batches, batch)
		}
	}
	return batches
}

// archiveBatches writes batches to at most maxFiles archive files.
func (s *Store) archiveBatches(batches []*shard.Batch, maxFiles int) {
	for range maxFiles {
		if len(batches) == 0 {
			return
		}
		batches = batches[s.writeArchiveFile(batches):]
	}
}

// writeArchiveFile writes the first of the given batches to one file and returns how many it wrote.
// They are removed from memory only once the file is durable. The entries that created them stay on
// disk until a compaction writes records that refer to the file.
func (s *Store) writeArchiveFile(batches []*shard.Batch) (count int) {
	file := s.archiver.allocateFile()
	var records []machine.Record
	for size := 0; count < min(len(batches), archiveBatchLimit) && size < archiveFileSize; count++ {
		batch := batches[count]
		body := batch.BeginArchiving(file)
		records = append(records, machine.Record{Unit: batch.ID, Kind: kindBatch, Body: body})
		size += len(body)
	}
	written := batches[:count]
	writeToken := s.groups.RegisterWrite(func(clock.Micros) {
		for _, batch := range written {
			batch.CompleteArchiving()
		}
		s.BatchesArchived += int64(count)
	})
	s.Emit(machine.Archive{Token: writeToken, File: file, Records: records})
	return count
}

// allEntriesDurable reports whether every entry of this member is durable: on all members if it is
// the primary, on its own disk if it is a replica.
func allEntriesDurable(group *replication.Group) bool {
	switch group.Role {
	case replication.Serving:
		return group.Unconfirmed() == 0
	case replication.Replicating:
		return group.SyncedSeq == group.Seq
	}
	return false
}

// readArchived reads an archived batch. If that fails, it reports the error and returns the batch
// without its archived content.
func (s *Store) readArchived(batch *shard.Batch) *shard.Batch {
	complete, err := s.archiver.read(batch)
	if err != nil {
		s.reportArchiveReadError(err)
		return batch
	}
	return complete
}

// readArchivedEncoded reads an archived batch in its encoded form.
func (s *Store) readArchivedEncoded(batch *shard.Batch) []byte {
	data, err := s.archiver.readEncoded(batch)
	if err != nil {
		s.reportArchiveReadError(err)
	}
	return data
}

// reportArchiveReadError reports an archived batch that can't be read. The daemon then shuts down, so
// that another member of the group serves the shard.
func (s *Store) reportArchiveReadError(err error) {
	s.BadRecord = err
	if s.OnDamage != nil {
		s.OnDamage(err)
	}
}

// deleteUnusedArchives deletes the archive files that no batch refers to any more. It does nothing
// while a file is being written, because no batch refers to that file yet.
func (s *Store) deleteUnusedArchives() {
	used := map[uint64]bool{}
	for _, local := range s.shards {
		for _, batch := range local.state.Batches {
			if batch.IsBeingArchived() {
				return
			}
			if batch.Archived != nil {
				used[batch.Archived.File] = true
			}
		}
	}
	if unused := s.archiver.takeUnused(used); len(unused) > 0 {
		s.Emit(machine.DeleteArchive{Files: unused})
	}
}

// FinishedBytesInMemory returns the size of the outputs of finished batches that are still in memory
// because they are not archived yet.
func (s *Store) FinishedBytesInMemory() int64 {
	size := int64(0)
	for _, local := range s.shards {
		for _, batch := range local.state.Batches {
			if batch.State == shard.Open {
				continue
			}
			for _, result := range batch.Results {
				size += int64(len(result.Output))
			}
		}
	}
	return size
}
