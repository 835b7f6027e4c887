package eventloop

import (
	"sync"

	"tuliprudder/kernel/machine"
)

// Bounds of what waits for the disk. One effect may pass the second: the copy of a
// whole unit is as large as the unit.
const (
	diskQueueEffects = 65536
	diskQueueBytes   = 32 << 20
	recordOverhead   = 128 // bytes that a record takes beside its body, about
)

// diskQueue holds what waits for the disk, in order. Who puts into a full queue
// waits: a machine whose disk is that far behind stands still, like a process that
// is frozen, rather than forget what it has decided or grow without bound.
type diskQueue struct {
	mu      sync.Mutex
	changed *sync.Cond
	waiting []queuedEffect
	bytes   int
	closed  bool
	most    int // effects
	size    int // bytes
}

type queuedEffect struct {
	effect machine.Effect
	bytes  int
}

func newDiskQueue(mostEffects, mostBytes int) *diskQueue {
	q := &diskQueue{most: mostEffects, size: mostBytes}
	q.changed = sync.NewCond(&q.mu)
	return q
}

// put waits for room; it returns false once the queue is closed.
func (q *diskQueue) put(effect machine.Effect) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.closed && (len(q.waiting) >= q.most || q.bytes >= q.size) {
		q.changed.Wait()
	}
	if q.closed {
		return false
	}
	one := queuedEffect{effect, sizeOf(effect)}
	q.waiting = append(q.waiting, one)
	q.bytes += one.bytes
	q.changed.Broadcast()
	return true
}

// take waits for at least one and returns up to most; nil once closed and empty.
func (q *diskQueue) take(most int) []machine.Effect {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) == 0 && !q.closed {
		q.changed.Wait()
	}
	count := min(most, len(q.waiting))
	if count == 0 {
		return nil
	}
	out := make([]machine.Effect, count)
	for i := range out {
		out[i] = q.waiting[i].effect
		q.bytes -= q.waiting[i].bytes
		q.waiting[i] = queuedEffect{}
	}
	q.waiting = q.waiting[count:]
	q.changed.Broadcast()
	return out
}

// close lets the disk thread finish what waits; nothing more is put.
func (q *diskQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.changed.Broadcast()
}

// load is how many effects wait, and their bytes.
func (q *diskQueue) load() (effects, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting), q.bytes
}

func sizeOf(effect machine.Effect) int {
	var records []machine.Record
	switch e := effect.(type) {
	case machine.Store:
		records = e.Records
	case machine.Fold:
		records = e.Records
	case machine.Shelve:
		records = e.Records
	}
	size := recordOverhead
	for _, record := range records {
		size += len(record.Body) + recordOverhead
	}
	return size
}
