package simulator

import (
	"fmt"
	"strconv"
	"strings"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/test/modelcontent"
)

// Batch is a batch as its caller saw it, with the servers' log of its items.
type Batch struct {
	ID             string
	Key            string
	ItemCount      int
	AcceptedAt     clock.Micros
	OutcomeUnknown bool
	Abandoned      bool
	EndedAt        clock.Micros
	StartCount     int
	Attempts       int
	SubmittedAt    clock.Micros
	itemsStarted   int                  // items that have started at least once
	startsByItem   map[string]int       // by item
	completedAt    map[int]clock.Micros // when an item's result was whole on a server, last
	resultsRead    int                  // rows that a waiting reader has seen
	failuresByItem map[int]int          // by item: how often a server failed it
	// Forwarded batches hold requests that are passed on unchanged.
	Forwarded bool
}

// SubmitBatch hands a batch in and goes on until it is accepted or given up.
func (v *Workload) SubmitBatch(items, attempts int) *Batch {
	v.lastNumber++
	return v.SubmitBatchWithKey(fmt.Sprintf("key-%d", v.lastNumber), items, attempts)
}

// SubmitBatchWithKey is the same under a key of the caller's choice.
func (v *Workload) SubmitBatchWithKey(key string, items, attempts int) *Batch {
	return v.submit(&Batch{ID: shard.BatchID(defaultTenant, key), Key: key, ItemCount: items}, attempts)
}

// submit hands a batch in until it is accepted or its tries are over.
func (v *Workload) submit(b *Batch, attempts int) *Batch {
	b.SubmittedAt, b.startsByItem, b.completedAt, b.failuresByItem = v.world.Now, map[string]int{}, map[int]clock.Micros{}, map[int]int{}
	v.Batches, v.batchByID[b.ID], v.batchByKey[b.Key] = append(v.Batches, b), b, b
	v.PendingCalls++
	var attempt func()
	attempt = func() {
		n := v.randomEdge()
		if b.Attempts >= attempts || n == nil && b.Attempts > 0 && attempts == 1 {
			b.Abandoned = true
			v.PendingCalls--
			return
		}
		if n == nil {
			v.world.After(100*clock.Millisecond, attempt)
			return
		}
		b.Attempts++
		op := &BatchOperation{ID: b.ID, CalledAt: v.world.Now}
		v.BatchOperations = append(v.BatchOperations, op)
		v.callEdge(n, b.submitRequest(), func(response any, err error) {
			op.AnsweredAt = v.world.Now
			op.unknown = errs.Is(err, errs.OutcomeUnknown)
			if err != nil && !op.unknown {
				v.removeOperation(op) // turned away: it never was
			}
			if ack, ok := response.(batchstore.SubmitResponse); ok && err == nil {
				op.duplicate = ack.Repeated
				b.AcceptedAt = v.world.Now
				v.PendingCalls--
				v.countCheck(batchKept)
				v.world.Tracef("bundle %s accepted by %s", b.ID, ack.Store)
				if v.Reading && v.world.Random.Intn(3) == 0 {
					v.followBatch(b, "")
				}
				if v.OnAcknowledgement != nil {
					v.OnAcknowledgement(b, ack.Store)
				}
				return
			}
			if errs.Of(err).Kind == errs.OutcomeUnknown {
				b.OutcomeUnknown = true
			}
			v.world.After(v.world.randomBetween(80, 400)*clock.Millisecond, attempt)
		})
	}
	attempt()
	return b
}

func itemInput(key string, item int) string { return key + "#" + strconv.Itoa(item) }

// removeOperation takes an operation out of the history.
func (v *Workload) removeOperation(op *BatchOperation) {
	for i, other := range v.BatchOperations {
		if other == op {
			v.BatchOperations = append(v.BatchOperations[:i], v.BatchOperations[i+1:]...)
			return
		}
	}
}

// EndBatch ends an accepted batch, trying until it is told.
func (v *Workload) EndBatch(b *Batch) {
	v.PendingCalls++
	var attempt func()
	attempt = func() {
		n := v.randomEdge()
		if n == nil {
			v.world.After(100*clock.Millisecond, attempt)
			return
		}
		v.callEdge(n, b.statusRequest(true), func(response any, err error) {
			if _, ok := response.(batchstore.BatchStatus); ok && err == nil {
				b.EndedAt = v.world.Now
				v.PendingCalls--
				v.world.Tracef("bundle %s ended", b.ID)
				return
			}
			v.world.After(200*clock.Millisecond, attempt)
		})
	}
	attempt()
}

// ReadBatchStatus asks any edge how an accepted batch stands: it may not know yet, but it
// may not say that there is none.
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
	v.callEdge(n, b.statusRequest(false), func(_ any, err error) {
		if op.found = err == nil; op.found || errs.Is(err, errs.NotFound) {
			op.AnsweredAt = v.world.Now
		}
		v.countCheck(batchKept)
		if errs.Is(err, errs.NotFound) {
			v.reportViolation(batchKept, "%s is told that there is no accepted bundle %s", n.Name, b.ID)
		}
	})
}

// itemStarted is a server's word that an item has started there.
func (v *Workload) itemStarted(key string, start modelcontent.Start) {
	b := v.batchByKey[key]
	if b == nil {
		v.reportViolation(answerIntact, "%s starts work of an unknown bundle %s", start.Server, key)
		return
	}
	b.StartCount++
	if b.startsByItem[start.Input]++; b.startsByItem[start.Input] == 1 {
		b.itemsStarted++
	}
	if b.Abandoned && !b.OutcomeUnknown {
		v.reportViolation(rejectedNeverRuns, "bundle %s was refused at every try and %s starts on %s", key, start.Input, start.Server)
	}
	if b.EndedAt > 0 {
		v.countCheck(endedBatchStops)
		if v.world.Now > b.EndedAt+3*clock.Second+timingGrace {
			v.reportViolation(endedBatchStops, "%s starts on %s %d us after its bundle ended", start.Input, start.Server, v.world.Now-b.EndedAt)
		}
	}
}

// itemCompleted is a server's word that an item's result is whole.
func (v *Workload) itemCompleted(key, item string) {
	if number, err := strconv.Atoi(item); err == nil && v.batchByKey[key] != nil {
		v.batchByKey[key].completedAt[number] = v.world.Now
	}
}

// itemFailed is a server's word that it has failed an item.
func (v *Workload) itemFailed(input string) {
	key, item, _ := strings.Cut(input, "#")
	if number, err := strconv.Atoi(item); err == nil && v.batchByKey[key] != nil {
		v.batchByKey[key].failuresByItem[number]++
	}
}
