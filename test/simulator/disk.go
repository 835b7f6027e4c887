package simulator

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
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

// archive is the archive on a simulated disk: bodies by file and unit.
type archive struct{ files map[uint64]map[string][]byte }

// Get returns the body of a unit in a file; errs.Corrupt where there is none.
func (a *archive) Get(file uint64, unit string) ([]byte, error) {
	if body, ok := a.files[file][unit]; ok {
		return body, nil
	}
	return nil, errs.New(errs.Corrupt, "", "no %s in archive file %d", unit, file)
}

// Files are the numbers of the files in order.
func (a *archive) Files() []uint64 {
	var out []uint64
	for file := range a.files {
		out = append(out, file)
	}
	slices.Sort(out)
	return out
}

// LastFile is the highest number of a file; 0 where there is none.
func (a *archive) LastFile() uint64 {
	last := uint64(0)
	for file := range a.files {
		last = max(last, file)
	}
	return last
}

// disk is a daemon's disk. Writes wait in the queue and are lost at a crash until a sync
// makes them durable.
type disk struct {
	durable       []machine.Record
	archive       archive
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
			bodies := map[string][]byte{}
			for _, record := range written.records {
				bodies[record.Unit] = record.Body
			}
			n.disk.archive.files[written.archiveFile] = bodies
			continue
		}
		for _, file := range written.deleteFiles {
			delete(n.disk.archive.files, file)
		}
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
