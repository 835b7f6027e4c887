package batchstore

import (
	"maps"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// The archive bounds a store's memory by its open work (docs/DESIGN.md §6.7): the items and
// results of finished batches are written to files of their own, leave memory, and are read
// back when somebody asks for them.

// Archive reads the archive files on this daemon's disk; the machine.Archive and
// machine.DeleteArchive effects write and delete them.
type Archive interface {
	// Get returns the body of the record of a unit, here a batch's ID.
	Get(file uint64, unit string) ([]byte, error)
	// Files are the numbers of the files that there are.
	Files() []uint64
	// LastFile is the highest number ever used.
	LastFile() uint64
}

const (
	// archiveFileSize is about how many bytes of batches one file holds.
	archiveFileSize = 256 << 10
	// archiveBatchLimit is how many batches one file holds at most.
	archiveBatchLimit = 256
	// maxArchiveFiles is how many files are written at one pass at most (archiveFinished): twice
	// what a disk of 4 MB a second takes between two passes.
	maxArchiveFiles = 64
)

// archiver keeps account of the archive files.
type archiver struct {
	archive  Archive
	lastFile uint64
	files    map[uint64]bool // files on the disk that may have to be deleted some time
}

func newArchiver(archive Archive) archiver {
	a := archiver{archive: archive, lastFile: archive.LastFile(), files: map[uint64]bool{}}
	for _, file := range archive.Files() {
		a.files[file] = true
	}
	return a
}

// allocateFile is the number of a new file.
func (a *archiver) allocateFile() uint64 {
	a.lastFile++
	a.files[a.lastFile] = true // to be deleted if no batch comes to refer to it
	return a.lastFile
}

// readEncoded reads an archived batch back as the file has it.
func (a *archiver) readEncoded(batch *shard.Batch) ([]byte, error) {
	return a.archive.Get(batch.Archived.File, batch.ID)
}

// read reads an archived batch back.
func (a *archiver) read(batch *shard.Batch) (*shard.Batch, error) {
	data, err := a.readEncoded(batch)
	if err != nil {
		return nil, err
	}
	return shard.DecodeArchived(data)
}

// takeUnused returns the files that are not in use, and does not return them again.
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

// archiveFinished writes the finished batches of shards whose entries are all durable into
// files, as many as there are, up to a bound.
func (s *Store) archiveFinished() {
	var batches []*shard.Batch
	for _, group := range s.groups.All() {
		if allEntriesDurable(group) {
			batches = append(batches, archivableBatches(s.shard(group.Unit).state)...)
		}
	}
	s.archiveBatches(batches, maxArchiveFiles)
}

// archiveInstalled writes all finished batches of a state that came from another store.
func (s *Store) archiveInstalled(state *shard.State) {
	batches := archivableBatches(state)
	s.archiveBatches(batches, len(batches))
}

// archivableBatches are the finished batches of a shard that are neither in a file nor on the
// way there.
func archivableBatches(state *shard.State) []*shard.Batch {
	var batches []*shard.Batch
	for _, id := range sortedBatchIDs(state) {
		if batch := state.Batches[id]; batch.IsArchivable() {
			batches = append(batches, batch)
		}
	}
	return batches
}

// archiveBatches writes batches into at most maxFiles files.
func (s *Store) archiveBatches(batches []*shard.Batch, maxFiles int) {
	for range maxFiles {
		if len(batches) == 0 {
			return
		}
		batches = batches[s.writeArchiveFile(batches):]
	}
}

// writeArchiveFile writes the first batches into a file and gives how many. They leave memory only
// once it is durable; the entries that made them stay on disk until a compaction refers to the
// file.
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

// allEntriesDurable tells whether every entry that this member has is durable: on all members at the
// primary, on its own disk at a replica.
func allEntriesDurable(group *replication.Group) bool {
	switch group.Role {
	case replication.Serving:
		return group.Unconfirmed() == 0
	case replication.Replicating:
		return group.SyncedSeq == group.Seq
	}
	return false
}

// readArchived reads an archived batch back.
func (s *Store) readArchived(batch *shard.Batch) *shard.Batch {
	complete, err := s.archiver.read(batch)
	if err != nil {
		s.reportArchiveReadError(err)
		return batch
	}
	return complete
}

// readArchivedEncoded reads an archived batch back as the archive has it.
func (s *Store) readArchivedEncoded(batch *shard.Batch) []byte {
	data, err := s.archiver.readEncoded(batch)
	if err != nil {
		s.reportArchiveReadError(err)
	}
	return data
}

// reportArchiveReadError tells of an archived batch that can't be read: the daemon ends, so that another
// member of the group serves the shard.
func (s *Store) reportArchiveReadError(err error) {
	s.BadRecord = err
	if s.OnDamage != nil {
		s.OnDamage(err)
	}
}

// deleteUnusedArchives deletes the archive files that no batch refers to any more. It waits
// while a file is being written: no batch refers to that one yet.
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

// FinishedBytesInMemory is how many bytes of outputs of finished batches are in memory because they
// are not in the archive yet.
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
