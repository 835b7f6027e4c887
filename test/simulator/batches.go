package simulator

import (
	"fmt"
	"slices"
	"strconv"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// Batch is a batch as its caller saw it, with the servers' log of its items.
type Batch struct {
	ID             string
	Key            string
	ItemCount      int
	AcceptedAt     clock.Micros
	OutcomeUnknown bool
	Abandoned      bool
	endRequested   bool // its caller has asked for its end
	EndedAt        clock.Micros
	StartCount     int
	Attempts       int
	SubmittedAt    clock.Micros
	itemsStarted   int                  // items that have started at least once
	startsByItem   map[string]int       // by an item's input
	completedAt    map[int]clock.Micros // when an item's result was last complete on a server
	resultsRead    int                  // results that a waiting reader has read
	failuresByItem map[int]int          // how often a server failed an item
	// Tenant is whose a forwarded batch is; "" for nobody's.
	Tenant   string
	workload *Workload
	calls    int // made for the batch
	// Forwarded batches hold requests that are forwarded unchanged.
	Forwarded bool
	// Limited ones of them are on the route with a quota of tokens.
	Limited bool
}

// SubmitBatch submits a batch until it is accepted or its attempts are used up.
func (v *Workload) SubmitBatch(items, attempts int) *Batch {
	v.lastNumber++
	return v.SubmitBatchWithKey(fmt.Sprintf("key-%d", v.lastNumber), items, attempts)
}

// SubmitBatchWithKey is the same under a key of the caller's choice.
func (v *Workload) SubmitBatchWithKey(key string, items, attempts int) *Batch {
	return v.submit(&Batch{ID: shard.BatchID(defaultTenant, key), Key: key, ItemCount: items}, attempts)
}

// submission is a batch on its way to be accepted.
type submission struct {
	workload    *Workload
	batch       *Batch
	maxAttempts int
}

// submit sends a batch until it is accepted or its attempts are used up.
func (v *Workload) submit(b *Batch, attempts int) *Batch {
	b.SubmittedAt = v.world.Now
	b.workload = v
	b.startsByItem = map[string]int{}
	b.completedAt = map[int]clock.Micros{}
	b.failuresByItem = map[int]int{}
	v.Batches = append(v.Batches, b)
	v.batchByID[b.ID] = b
	v.batchByKey[b.Key] = b
	v.PendingCalls++
	(&submission{v, b, attempts}).attempt()
	return b
}

// attempt submits the batch at an edge, or abandons it.
func (s *submission) attempt() {
	v, b := s.workload, s.batch
	n := v.randomEdge()
	onlyAttemptUsed := n == nil && b.Attempts > 0 && s.maxAttempts == 1
	if b.Attempts >= s.maxAttempts || onlyAttemptUsed {
		b.Abandoned = true
		v.PendingCalls--
		return
	}
	if n == nil {
		v.world.After(100*clock.Millisecond, s.attempt)
		return
	}
	b.Attempts++
	op := &BatchOperation{ID: b.ID, CalledAt: v.world.Now}
	op.isRepeatUnknown = b.Forwarded
	v.BatchOperations = append(v.BatchOperations, op)
	v.callEdge(n, b.submitRequest(v.world.Now), func(response any, err error) { s.answered(op, response, err) })
}

// answered records an attempt's answer, and submits the batch again where it was not
// accepted.
func (s *submission) answered(op *BatchOperation, response any, err error) {
	v := s.workload
	op.AnsweredAt = v.world.Now
	op.unknown = errs.Is(err, errs.OutcomeUnknown)
	if err != nil && !op.unknown {
		v.removeOperation(op) // rejected: it had no effect
	}
	if ack, ok := response.(batchstore.SubmitResponse); ok && err == nil {
		op.duplicate = ack.Repeated
		s.accepted(ack)
		return
	}
	if errs.Of(err).Kind == errs.OutcomeUnknown {
		s.batch.OutcomeUnknown = true
	}
	v.world.After(v.world.randomBetween(80, 400)*clock.Millisecond, s.attempt)
}

func (s *submission) accepted(ack batchstore.SubmitResponse) {
	v, b := s.workload, s.batch
	b.AcceptedAt = v.world.Now
	v.PendingCalls--
	v.countCheck(batchKept)
	v.world.Tracef("batch %s accepted by %s", b.ID, ack.Store)
	if b.Limited {
		v.checkTokenQuota(b)
	}
	if v.Reading && v.world.Random.Intn(3) == 0 {
		v.followBatch(b, "")
	}
	if v.OnAcknowledgement != nil {
		v.OnAcknowledgement(b, ack.Store)
	}
}

func itemInput(key string, item int) string { return key + "#" + strconv.Itoa(item) }

// removeOperation removes an operation from the history.
func (h *History) removeOperation(op *BatchOperation) {
	h.BatchOperations = slices.DeleteFunc(h.BatchOperations, func(other *BatchOperation) bool { return other == op })
}

// EndBatch cancels an accepted batch, and tries again until that is acknowledged.
func (v *Workload) EndBatch(b *Batch) {
	b.endRequested = true
	v.PendingCalls++
	var attempt func()
	attempt = func() {
		n := v.randomEdge()
		if n == nil {
			v.world.After(100*clock.Millisecond, attempt)
			return
		}
		v.callEdge(n, b.statusRequest(true, v.world.Now), func(response any, err error) {
			if _, ok := response.(batchstore.BatchStatus); ok && err == nil {
				b.EndedAt = v.world.Now
				v.PendingCalls--
				v.world.Tracef("batch %s ended", b.ID)
				return
			}
			v.world.After(200*clock.Millisecond, attempt)
		})
	}
	attempt()
}

// ReadBatchStatus reads the status of an accepted batch at any edge: it may not know yet, but
// it may not answer that there is none.
func (v *Workload) ReadBatchStatus() {
	n := v.randomEdge()
	if n == nil || len(v.Batches) == 0 {
		return
	}
	b := v.Batches[v.world.Random.Intn(len(v.Batches))]
	if b.AcceptedAt == 0 {
		return
	}
	op := &BatchOperation{ID: b.ID, CalledAt: v.world.Now, batchOutput: batchOutput{isStatus: true}}
	v.BatchOperations = append(v.BatchOperations, op)
	v.callEdge(n, b.statusRequest(false, v.world.Now), func(_ any, err error) {
		if op.exists = err == nil; op.exists || errs.Is(err, errs.NotFound) {
			op.AnsweredAt = v.world.Now
		}
		v.countCheck(batchKept)
		if errs.Is(err, errs.NotFound) {
			v.reportViolation(batchKept, "%s is answered that there is no accepted batch %s", n.Name, b.ID)
		}
	})
}
