package capacitymodel

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/test/memstorage"
)

// disk is a daemon's disk: it syncs what is queued in groups, a few milliseconds each.
type disk struct {
	durable []machine.Record
	archive memstorage.Archive // of a store
	queue   []machine.Effect
	busy    bool // a group is being synced
}

// startSync has the disk sync what is queued.
func (d *daemon) startSync() {
	if d.disk.busy || len(d.disk.queue) == 0 {
		return
	}
	f, generation := d.fleet, d.generation
	group := d.disk.queue
	d.disk.queue = nil
	d.disk.busy = true
	f.tallyOf(d).syncs++
	f.After(f.randomBetween(1, 4)*clock.Millisecond, func() {
		if d.generation != generation || !d.up {
			return
		}
		d.disk.busy = false
		d.runStep(func() {
			for _, effect := range group {
				d.persist(effect)
			}
			d.startSync()
		})
	})
}

// persist makes one write durable and notifies the machine where it waits for that.
func (d *daemon) persist(effect machine.Effect) {
	now := d.fleet.Now
	switch e := effect.(type) {
	case machine.Persist:
		d.disk.durable = append(d.disk.durable, e.Records...)
		d.applyEffects(d.machine.Persisted(e.Token, now))
	case machine.Compact:
		d.disk.durable = e.Records
	case machine.Archive:
		d.disk.archive.Put(e.File, e.Records)
		d.applyEffects(d.machine.Persisted(e.Token, now))
	case machine.DeleteArchive:
		d.disk.archive.Delete(e.Files)
	}
}
