package simulator

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/test/memstorage"
)

// write is one write to a disk: records appended, all records replaced, or an archive file
// added or deleted.
type write struct {
	records     []machine.Record
	compact     bool
	token       uint64
	archiveFile uint64   // of the archive, that the records make up; 0: none
	deleteFiles []uint64 // of the archive
}

// writeOf is the write that an effect requests.
func writeOf(effect machine.Effect) write {
	switch e := effect.(type) {
	case machine.Persist:
		return write{records: e.Records, token: e.Token}
	case machine.Compact:
		return write{records: e.Records, compact: true}
	case machine.Archive:
		return write{records: e.Records, token: e.Token, archiveFile: e.File}
	case machine.DeleteArchive:
		return write{deleteFiles: e.Files}
	}
	return write{}
}

// disk is a daemon's disk. Writes wait in the queue and are lost at a crash until a sync
// makes them durable.
type disk struct {
	durable       []machine.Record
	archive       memstorage.Archive // of a store
	queue         []write
	syncing       bool
	stalledUntil  clock.Micros
	extraSyncTime clock.Micros // added to each sync
	skipsSync     bool         // set by tests only: it reports writes as synced and keeps the newest in memory
	unsynced      []write      // with skipsSync, the writes in memory
}

// maxUnsyncedWrites is how many writes a disk with skipsSync keeps in memory.
const maxUnsyncedWrites = 40

func (n *Node) queueWrite(queued write) {
	n.disk.queue = append(n.disk.queue, queued)
	n.syncNext()
}

// syncNext has the disk write what is queued: one group, one sync.
func (n *Node) syncNext() {
	if n.disk.syncing || len(n.disk.queue) == 0 {
		return
	}
	w, generation := n.world, n.generation
	n.disk.syncing = true
	groupSize := n.disk.nextGroupSize()
	w.Syncs++
	w.After(n.syncDuration(), func() {
		if n.generation == generation && n.up {
			n.synced(groupSize)
		}
	})
}

// nextGroupSize is how many queued writes the next sync takes: all up to a compaction, or
// one compaction.
func (d *disk) nextGroupSize() int {
	if d.queue[0].compact {
		return 1
	}
	if next := slices.IndexFunc(d.queue, func(queued write) bool { return queued.compact }); next > 0 {
		return next
	}
	return len(d.queue)
}

func (n *Node) syncDuration() clock.Micros {
	w := n.world
	duration := w.randomBetween(w.Conditions.SyncTime/2, 2*w.Conditions.SyncTime) + n.disk.extraSyncTime
	return duration + max(0, n.disk.stalledUntil-w.Now)
}

// synced makes a group of writes durable and notifies the machine of it.
func (n *Node) synced(groupSize int) {
	w := n.world
	group := n.disk.queue[:groupSize:groupSize]
	n.disk.queue = n.disk.queue[groupSize:]
	if n.disk.skipsSync {
		n.keepInMemory(group)
	} else {
		n.persist(group)
	}
	n.disk.syncing = false
	if w.OnSync != nil {
		w.OnSync(n)
	}
	n.runOrDefer(func() {
		for _, written := range group {
			if !written.compact && written.token > 0 {
				n.execute(n.machine.Persisted(written.token, w.Now))
			}
		}
	})
	n.syncNext()
}

// keepInMemory makes only writes durable that newer ones have pushed out of the memory.
func (n *Node) keepInMemory(group []write) {
	n.disk.unsynced = append(n.disk.unsynced, group...)
	if excess := len(n.disk.unsynced) - maxUnsyncedWrites; excess > 0 {
		n.persist(n.disk.unsynced[:excess])
		n.disk.unsynced = n.disk.unsynced[excess:]
	}
}

func (n *Node) persist(group []write) {
	for _, written := range group {
		if written.archiveFile > 0 {
			n.disk.archive.Put(written.archiveFile, written.records)
			continue
		}
		n.disk.archive.Delete(written.deleteFiles)
		if written.compact {
			n.disk.durable = nil
		}
		n.disk.durable = append(n.disk.durable, written.records...)
	}
}

// StallDisk has the disk sync nothing for a span.
func (n *Node) StallDisk(duration clock.Micros) {
	n.disk.stalledUntil = n.world.Now + duration
	n.lastFaultAt = max(n.lastFaultAt, n.disk.stalledUntil)
	n.world.Tracef("%s: disk stalls for %d ms", n.Name, duration/1000)
}
