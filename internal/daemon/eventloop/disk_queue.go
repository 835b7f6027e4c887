package eventloop

import (
	"sync"

	"tuliprudder/internal/machine"
)

// Limits of the write queue. A single effect may exceed the byte limit, since a snapshot of a
// whole unit is as large as the unit.
const (
	maxQueuedEffects = 65536
	maxQueuedBytes   = 32 << 20
	recordOverhead   = 128 // approximate bytes that a record takes in addition to its body
)

// diskQueue holds the writes that wait for the disk, in order. A put into a full queue
// blocks: a machine whose disk is that far behind stops, like a frozen process, rather than
// drop decisions that it has made or use unbounded memory.
type diskQueue struct {
	maxEffects int
	maxBytes   int

	mu      sync.Mutex // guards all that follows
	changed *sync.Cond // uses mu; signals that an effect was put or taken, or that the queue was closed
	queued  []queuedEffect
	bytes   int
	closed  bool
}

type queuedEffect struct {
	effect machine.Effect
	bytes  int
}

func newDiskQueue(maxEffects, maxBytes int) *diskQueue {
	q := &diskQueue{maxEffects: maxEffects, maxBytes: maxBytes}
	q.changed = sync.NewCond(&q.mu)
	return q
}

// put adds an effect and blocks while the queue is full; it returns false once the queue is
// closed.
func (q *diskQueue) put(effect machine.Effect) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.closed && (len(q.queued) >= q.maxEffects || q.bytes >= q.maxBytes) {
		q.changed.Wait()
	}
	if q.closed {
		return false
	}
	entry := queuedEffect{effect: effect, bytes: sizeOf(effect)}
	q.queued = append(q.queued, entry)
	q.bytes += entry.bytes
	q.changed.Broadcast()
	return true
}

// take waits for at least one effect and returns up to limit effects, or nil once the queue
// is closed and empty.
func (q *diskQueue) take(limit int) []machine.Effect {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.queued) == 0 && !q.closed {
		q.changed.Wait()
	}
	count := min(limit, len(q.queued))
	if count == 0 {
		return nil
	}
	out := make([]machine.Effect, count)
	for i := range out {
		out[i] = q.queued[i].effect
		q.bytes -= q.queued[i].bytes
		q.queued[i] = queuedEffect{}
	}
	q.queued = q.queued[count:]
	q.changed.Broadcast()
	return out
}

// close rejects further puts; the disk writer still finishes what is queued.
func (q *diskQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.changed.Broadcast()
}

// load returns the number of queued effects and their bytes.
func (q *diskQueue) load() (effects, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queued), q.bytes
}

// sizeOf returns the approximate number of bytes that an effect takes in the queue.
func sizeOf(effect machine.Effect) int {
	var records []machine.Record
	switch e := effect.(type) {
	case machine.Persist:
		records = e.Records
	case machine.Compact:
		records = e.Records
	case machine.Archive:
		records = e.Records
	}
	size := recordOverhead
	for _, record := range records {
		size += len(record.Body) + recordOverhead
	}
	return size
}
