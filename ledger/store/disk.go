package store

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
)

// This file is what a keeper does while its disk takes no writes (DESIGN §6.7): its
// slots pass on, it takes nothing new, and what it has decided waits for the disk.

// DiskChanged is the shell's word on the disk.
type DiskChanged struct{ State machine.DiskState }

// Apply notes it, and tells the cores at once.
func (d DiskChanged) Apply(k *Store, now clock.Micros) {
	changed := d.State.Writable != k.disk.Writable
	k.disk = d.State
	if !changed {
		return
	}
	if d.State.Writable {
		k.Emit(machine.Explain{What: "the disk takes writes again", Fields: map[string]any{"slots_back_after_us": k.set.DiskProof}})
	} else {
		k.Emit(machine.Explain{What: "giving up the slots for the disk's sake", Fields: map[string]any{"reason": d.State.Reason, "owned": k.Owned()}})
	}
	k.beat(now)
}

// FoldAgain asks for a view of now: the last one could not be written.
type FoldAgain struct{}

// Apply has the view made with this step's effects.
func (FoldAgain) Apply(k *Store, _ clock.Micros) { k.stores = k.set.FoldAfter }

// DiskWait is how long the oldest write has been on its way to the disk.
func (k *Store) DiskWait(now clock.Micros) clock.Micros {
	oldest := clock.Micros(0)
	for _, since := range k.writes {
		oldest = max(oldest, now-since)
	}
	return oldest
}

// Stalled tells whether the disk holds writes back or turns them down, or did so a
// moment ago: its slots pass on until it has kept up for a while.
func (k *Store) Stalled(now clock.Micros) bool {
	if !k.disk.Writable || k.DiskWait(now) > k.set.DiskPatience {
		k.stalled = now
	}
	return k.stalled > 0 && now-k.stalled < k.set.DiskProof
}

// leftUntaken tells whether a message is passed over while the disk takes no writes:
// it could only wait in memory, unacknowledged, and its sender repeats it.
func (k *Store) leftUntaken(body any) bool {
	if k.disk.Writable {
		return false
	}
	switch body.(type) {
	case replication.Copy, replication.Append:
		return true
	}
	return false
}

// turnedAway refuses what would have to be written; nothing of it was.
func (k *Store) turnedAway(c Call) bool {
	if k.disk.Writable {
		return false
	}
	switch c.Body.(type) {
	case EnrolAsk, EndAsk, ClaimAsk, SettleAsk:
		k.fail(c.Number, errs.Later(errs.NotReady, clock.Second, "ask again: the slot is passing to another keeper", "store %s can't write: %s", k.self.ID, k.disk.Reason))
		return true
	}
	return false
}
