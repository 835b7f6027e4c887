package eventloop

import (
	"sync"
	"sync/atomic"
	"time"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/storage"
)

const (
	mostGroup = 1024 // effects in one commit group
	// Between two tries of a write that the disk turned down.
	firstRetry = 20 * time.Millisecond
	mostRetry  = time.Second
	// Until a view that could not be written is asked for again.
	firstRefold = 2 * clock.Second
	mostRefold  = 60 * clock.Second
)

// recordFolder and recordShelf are what the disk thread needs of a data folder.
type recordFolder interface {
	Write(records []machine.Record) error
	Fold(records []machine.Record) error
}

type recordShelf interface {
	Put(file uint64, records []machine.Record, counts *storage.Folder) error
	Drop(files []uint64)
}

// diskThread writes what the machine decided, in order. A write that the disk turns
// down is tried again until it is taken: what is behind it waits, and nothing is
// acknowledged before it is synced. Nothing ends the daemon here.
type diskThread struct {
	queue  *diskQueue
	health diskHealth
	folder recordFolder
	shelf  recordShelf
	counts *storage.Folder
	now    func() clock.Micros
	// pause waits between two tries; false once the daemon stops.
	pause func(span time.Duration) bool
	// wake has the machine's thread take its words off.
	wake  func()
	words diskWords
	// foldsGivenUp counts views that could not be written since the last one that was;
	// the machine is asked for another one at refoldAt, and refold is how long that was put off.
	foldsGivenUp atomic.Int64
	refoldAt     atomic.Int64
	refold       clock.Micros
}

// diskWords is what the machine has to be told of its disk. What is stored is bounded
// by what the queue took in.
type diskWords struct {
	mu     sync.Mutex
	stored []uint64
	state  *machine.DiskState
	refold bool
}

// run is the thread. What waits when it comes round is one commit group: one file,
// one sync of it and one of its folder.
func (d *diskThread) run() {
	for batch := d.queue.take(mostGroup); batch != nil; batch = d.queue.take(mostGroup) {
		if !d.writeAll(batch) {
			return
		}
	}
}

// writeAll writes a batch in order; false when the daemon stops before it is written.
func (d *diskThread) writeAll(batch []machine.Effect) bool {
	var group commitGroup
	for _, effect := range batch {
		if store, ok := effect.(machine.Store); ok {
			group.add(store)
			continue
		}
		if !d.commit(&group) || !d.writeOne(effect) {
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

func (g *commitGroup) add(store machine.Store) {
	g.records = append(g.records, store.Records...)
	g.tokens = append(g.tokens, store.Token)
}

func (d *diskThread) commit(group *commitGroup) bool {
	if len(group.tokens) == 0 {
		return true
	}
	records, tokens := group.records, group.tokens
	*group = commitGroup{}
	if !d.insist(func() error { return d.folder.Write(records) }) {
		return false
	}
	d.stored(tokens...)
	return true
}

// writeOne writes what is no part of a commit group.
func (d *diskThread) writeOne(effect machine.Effect) bool {
	switch e := effect.(type) {
	case machine.Fold:
		d.fold(e.Records)
	case machine.Shelve:
		if !d.insist(func() error { return d.shelf.Put(e.File, e.Records, d.counts) }) {
			return false
		}
		d.stored(e.Token)
	case machine.Unshelve:
		d.try(func() error { d.shelf.Drop(e.Files); return nil })
	}
	return true
}

// insist tries a write until the disk takes it, with pauses that grow; false when
// the daemon stops before.
func (d *diskThread) insist(write func() error) bool {
	for pause := firstRetry; d.try(write) != nil; pause = min(2*pause, mostRetry) {
		if !d.pause(pause) {
			return false
		}
	}
	return true
}

func (d *diskThread) try(write func() error) error {
	d.health.begin(d.now())
	err := write()
	d.health.end(d.now(), err)
	return err
}

// fold writes a view once. It only saves room, and what it says is on disk already:
// where there is no room for it, the machine is asked for a newer one later, and the
// commit groups behind it go on.
func (d *diskThread) fold(records []machine.Record) {
	d.health.begin(d.now())
	err := d.folder.Fold(records)
	d.health.end(d.now(), nil)
	if err == nil {
		d.refold = 0
		d.foldsGivenUp.Store(0)
		return
	}
	d.foldsGivenUp.Add(1)
	d.refold = min(max(2*d.refold, firstRefold), mostRefold)
	d.refoldAt.Store(d.now() + d.refold)
}

func (d *diskThread) stored(tokens ...uint64) {
	d.words.mu.Lock()
	d.words.stored = append(d.words.stored, tokens...)
	d.words.mu.Unlock()
	d.wake()
}

// look works out what changed about the disk, and has the machine told.
func (d *diskThread) look(now clock.Micros) (condition DiskCondition, reason string, changed bool) {
	condition, reason, changed = d.health.look(now)
	at := d.refoldAt.Load()
	refold := at > 0 && now >= at && d.refoldAt.CompareAndSwap(at, 0)
	if !changed && !refold {
		return condition, reason, false
	}
	d.words.mu.Lock()
	if changed {
		d.words.state = &machine.DiskState{Writable: condition.Writable(), Reason: reason}
	}
	d.words.refold = d.words.refold || refold
	d.words.mu.Unlock()
	d.wake()
	return condition, reason, changed
}

// tell hands the machine what it has to be told; its thread calls this before each
// step.
func (d *diskThread) tell(handler Machine, now clock.Micros) []machine.Effect {
	d.words.mu.Lock()
	stored, state, refold := d.words.stored, d.words.state, d.words.refold
	d.words.stored, d.words.state, d.words.refold = nil, nil, false
	d.words.mu.Unlock()
	var out []machine.Effect
	for _, token := range stored {
		out = append(out, handler.Stored(token, now)...)
	}
	if state != nil {
		out = append(out, handler.Disk(*state, now)...)
	}
	if refold {
		out = append(out, handler.FoldAgain(now)...)
	}
	return out
}
