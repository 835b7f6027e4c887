package eventloop

import (
	"sync/atomic"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/storage"
)

const (
	maxGroupEffects = 1024 // effects in one commit group
	// Delay between two attempts of a failed write.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = time.Second
	// Delay until a snapshot that could not be written is requested again.
	initialCompactRetryDelay = 2 * clock.Second
	maxCompactRetryDelay     = 60 * clock.Second
)

// recordStore is the part of the records folder that the disk writer uses.
type recordStore interface {
	Write(records []machine.Record) error
	Compact(records []machine.Record) error
}

// recordArchive is the part of the archive that the disk writer uses.
type recordArchive interface {
	Put(file uint64, records []machine.Record, counts *storage.Folder) error
	Delete(files []uint64)
}

// diskWriter executes the machine's writes in order. A failed write is retried until it
// succeeds: the writes behind it wait, and nothing is acknowledged before it is synced. A disk
// error never ends the daemon here.
//
// One goroutine runs it (run); the machine's goroutine takes its reports (deliverReports), and
// the tick goroutine checks for changes (reportChanges).
type diskWriter struct {
	queue   *diskQueue
	health  diskHealth
	folder  recordStore
	archive recordArchive
	counts  *storage.Folder // counts the archive's syncs and bytes
	now     func() clock.Micros
	// pause waits between two attempts; it returns false once the daemon is stopping.
	pause func(delay time.Duration) bool
	// wake makes the machine's goroutine take the reports.
	wake    func()
	reports diskReports
	// failedCompactions counts the failed snapshots since the last successful one.
	failedCompactions atomic.Int64
	// compactAgainAt is when another snapshot is requested from the machine; 0 if none is due.
	compactAgainAt atomic.Int64
	// compactRetryDelay is the delay of the last such request; only run uses it.
	compactRetryDelay clock.Micros
}

// run writes until the queue is closed and empty, or the daemon stops. The records that are
// queued when it takes from the queue form one commit group: one file, with one sync of the
// file and one of its folder.
func (d *diskWriter) run() {
	for batch := d.queue.take(maxGroupEffects); batch != nil; batch = d.queue.take(maxGroupEffects) {
		if !d.writeAll(batch) {
			return
		}
	}
}

// writeAll writes a batch in order; it returns false if the daemon stops before all of it is
// written.
func (d *diskWriter) writeAll(batch []machine.Effect) bool {
	var group commitGroup
	for _, effect := range batch {
		if persist, ok := effect.(machine.Persist); ok {
			group.add(persist)
			continue
		}
		if !d.commit(&group) || !d.writeUngrouped(effect) {
			return false
		}
	}
	return d.commit(&group)
}

// commitGroup is a set of records that become durable together.
type commitGroup struct {
	records []machine.Record
	tokens  []uint64
}

func (g *commitGroup) add(persist machine.Persist) {
	g.records = append(g.records, persist.Records...)
	g.tokens = append(g.tokens, persist.Token)
}

func (d *diskWriter) commit(group *commitGroup) bool {
	if len(group.tokens) == 0 {
		return true
	}
	records, tokens := group.records, group.tokens
	*group = commitGroup{}
	if !d.writeWithRetry(func() error { return d.folder.Write(records) }) {
		return false
	}
	d.reportPersisted(tokens...)
	return true
}

// writeUngrouped executes an effect that is not part of a commit group.
func (d *diskWriter) writeUngrouped(effect machine.Effect) bool {
	switch e := effect.(type) {
	case machine.Compact:
		d.compact(e.Records)
	case machine.Archive:
		if !d.writeWithRetry(func() error { return d.archive.Put(e.File, e.Records, d.counts) }) {
			return false
		}
		d.reportPersisted(e.Token)
	case machine.DeleteArchive:
		d.attemptWrite(func() error { d.archive.Delete(e.Files); return nil })
	}
	return true
}

// writeWithRetry retries a write with exponential backoff until it succeeds; it returns false
// if the daemon stops first.
func (d *diskWriter) writeWithRetry(write func() error) bool {
	for pause := initialRetryDelay; d.attemptWrite(write) != nil; pause = min(2*pause, maxRetryDelay) {
		if !d.pause(pause) {
			return false
		}
	}
	return true
}

func (d *diskWriter) attemptWrite(write func() error) error {
	d.health.beginAttempt(d.now())
	err := write()
	d.health.endAttempt(d.now(), err)
	return err
}

// compact tries once to write a snapshot. A snapshot only saves space, and its contents are on
// disk already: if it can't be written, a newer one is requested from the machine later, and
// the commit groups behind it continue. Its failure does not count against the disk's health,
// which is judged by small writes.
func (d *diskWriter) compact(records []machine.Record) {
	d.health.beginAttempt(d.now())
	err := d.folder.Compact(records)
	d.health.endAttempt(d.now(), nil)
	if err == nil {
		d.compactRetryDelay = 0
		d.failedCompactions.Store(0)
		return
	}
	d.failedCompactions.Add(1)
	d.compactRetryDelay = min(max(2*d.compactRetryDelay, initialCompactRetryDelay), maxCompactRetryDelay)
	d.compactAgainAt.Store(d.now() + d.compactRetryDelay)
}
