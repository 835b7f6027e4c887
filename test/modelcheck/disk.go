package modelcheck

import (
	"slices"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/machine"
)

// diskWrite is one write to the disk that is not synced yet.
type diskWrite struct {
	records      []machine.Record
	token        uint64
	isCompaction bool // replaces all records before it
}

// withWrite returns the records of a disk after one more write.
func withWrite(disk []machine.Record, w diskWrite) []machine.Record {
	if w.isCompaction {
		return w.records
	}
	return append(slices.Clip(disk), w.records...)
}

func (w *World) writeToDisk(processIndex int, write diskWrite) {
	next := *w.processes[processIndex]
	next.unsynced = append(slices.Clip(next.unsynced), write)
	next.cachedFingerprint = 0
	w.processes[processIndex] = &next
	if w.config.fault().EarlySync && !write.isCompaction {
		w.execute(processIndex, controlplane.Persisted{Token: write.token})
	}
}

// syncOldestWrite makes the oldest unsynced write of a process durable and notifies the machine.
// It returns false if there is none or the disk accepts no writes.
func (w *World) syncOldestWrite(processIndex int) bool {
	p := w.processes[processIndex]
	if len(p.unsynced) == 0 || p.diskBlocked {
		return false
	}
	write := p.unsynced[0]
	next := *p
	next.unsynced = p.unsynced[1:]
	next.cachedFingerprint = 0
	next.disk = withWrite(p.disk, write)
	w.processes[processIndex] = &next
	w.recordVotes(&next, write.records)
	if !write.isCompaction && !w.config.fault().EarlySync {
		w.execute(processIndex, controlplane.Persisted{Token: write.token})
	}
	return true
}

// setDiskBlocked makes the disk of a process reject writes, or accept them again; it returns false
// if the disk is in that state already.
func (w *World) setDiskBlocked(processIndex int, blocked bool) bool {
	before := w.processes[processIndex].diskBlocked
	next := *w.processes[processIndex]
	next.diskBlocked = blocked
	next.diskUnblockedAt = w.now
	next.cachedFingerprint = 0
	w.processes[processIndex] = &next
	if blocked {
		w.faultsUsed.pauses++
	}
	disk := machine.DiskState{Writable: !blocked, Reason: "explored"}
	w.execute(processIndex, controlplane.DiskStateChanged{State: disk})
	return before != blocked
}
