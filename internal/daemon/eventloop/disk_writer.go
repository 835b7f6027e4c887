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
	// Between two attempts of a write that the disk failed.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = time.Second
	// Until a snapshot that could not be written is requested again.
	initialCompactRetryDelay = 2 * clock.Second
	maxCompactRetryDelay     = 60 * clock.Second
)

// recordStore is what the disk writer needs of the folder of records.
type recordStore interface {
	Write(records []machine.Record) error
	Compact(records []machine.Record) error
}

// recordArchive is what the disk writer needs of the archive.
type recordArchive interface {
	Put(file uint64, records []machine.Record, counts *storage.Folder) error
	Delete(files []uint64)
}

// diskWriter writes what the machine decided, in order. A write that the disk fails is
// retried until it succeeds: the writes behind it wait, and nothing is acknowledged before
// it is synced. No fault of the disk ends the daemon here.
//
// One goroutine runs it (run); the machine's goroutine takes its reports
// (deliverReports), and that of the ticks looks for changes (reportChanges).
type diskWriter struct {
	queue   *diskQueue
	health  diskHealth
	folder  recordStore
	archive recordArchive
	counts  *storage.Folder // where the archive's syncs and bytes are counted
	now     func() clock.Micros
	// pause waits between two attempts; false once the daemon stops.
	pause func(delay time.Duration) bool
	// wake has the machine's goroutine take the reports.
	wake    func()
	reports diskReports
	// failedCompactions counts the snapshots that could not be written since the last one
	// that was.
	failedCompactions atomic.Int64
	// compactAgainAt is when the machine is asked for another snapshot; 0: it is not.
	compactAgainAt atomic.Int64
	// compactRetryDelay is how long the last request was put off; used by run alone.
	compactRetryDelay clock.Micros
}

// run writes until the queue is closed and empty, or the daemon stops. The records that are
// queued when it takes from the queue are one commit group: one file, one sync of it and one
// of its folder.
func (d *diskWriter) run() {
	for batch := d.queue.take(maxGroupEffects); batch != nil; batch = d.queue.take(maxGroupEffects) {
		if !d.writeAll(batch) {
			return
		}
	}
}

// writeAll writes a batch in order; false when the daemon stops before it is written.
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

// commitGroup is the records that become durable together.
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

// writeUngrouped writes what is no part of a commit group.
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

// writeWithRetry retries a write until it succeeds, with exponential backoff; false when the
// daemon stops before.
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

// compact writes a snapshot once. It only saves space, and what it has is on disk already:
// where there is no space for it, the machine is asked for a newer one later, and the
// commit groups behind it go on. Its failure says nothing about the disk's health, which
// small writes decide.
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
