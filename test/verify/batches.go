package verify

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"time"
)

// Batch is one batch as its caller saw it.
type Batch struct {
	ID, Key        string
	Inputs         []string
	Accepted       bool
	OutcomeUnknown bool     // some attempt was of unknown outcome
	IsInvalid      bool     // submitted with an invalid item: must be rejected
	Results        []Result // as the caller read them, in the order of the list
	// Times in microseconds since 1970; 0: not yet.
	SentAt      int64
	AnsweredAt  int64
	CancelledAt int64
	CompleteAt  int64   // when the last result was read
	SeenAt      []int64 // when each result was first read by the reader who waited for it
}

// item is an item of a batch as a caller submits it.
type item struct {
	ID    string `json:"id"`
	Input string `json:"input"`
}

// newBatch makes a batch and its items; an invalid one has an item without input.
func (t *Workload) newBatch(invalid bool) (*Batch, []item) {
	b := &Batch{Key: t.uniqueName("bundle"), IsInvalid: invalid, SentAt: nowMicros()}
	var items []item
	for n := range t.Items {
		input := fmt.Sprintf("%s/item-%d", b.Key, n)
		b.Inputs = append(b.Inputs, input)
		items = append(items, item{strconv.Itoa(n), input})
	}
	if invalid {
		items[len(items)-1].Input = ""
	}
	return b, items
}

// runBatch submits a batch and reads its results; every seventh one is invalid, and every
// ninth is cancelled.
func (t *Workload) runBatch(ctx context.Context, rng *rand.Rand, i int) {
	b, items := t.newBatch(i%7 == 6)
	t.mu.Lock()
	t.batches = append(t.batches, b)
	t.mu.Unlock()
	if !t.submitBatch(ctx, rng, b, items) {
		return
	}
	if i%9 == 8 {
		t.cancelBatch(ctx, rng, b)
		return
	}
	t.readBatch(ctx, rng, b)
}

// submitBatch submits a batch until it is accepted; false where it was not.
func (t *Workload) submitBatch(ctx context.Context, rng *rand.Rand, b *Batch, items []item) bool {
	submission := apiCall{
		method:         http.MethodPost,
		path:           "/v1/routes/" + t.BatchRoute + "/bundles",
		apiKey:         t.BatchKey,
		idempotencyKey: b.Key,
		body:           map[string][]item{"items": items},
	}
	for attempt := 0; attempt < t.MaxAttempts && ctx.Err() == nil; attempt++ {
		got, err := t.call(ctx, t.randomEdge(rng), submission)
		switch got.outcome(err) {
		case OK:
			t.recordAccepted(b, got)
			return true
		case Unknown:
			t.recordUnknown(b)
		case Rejected:
			if b.IsInvalid && got.errorKind == "bad_input" {
				return false
			}
			t.recordRejected(b, got.errorKind)
		}
		time.Sleep(time.Duration(100+rng.Intn(200)) * time.Millisecond)
	}
	return false
}

func (t *Workload) recordAccepted(b *Batch, got callResult) {
	var submitted struct {
		Batch string `json:"bundle"`
	}
	json.Unmarshal(got.body, &submitted) // without an identity its results are not found, which is a violation
	t.mu.Lock()
	defer t.mu.Unlock()
	b.Accepted = true
	b.ID = submitted.Batch
	b.AnsweredAt = nowMicros()
}

func (t *Workload) recordUnknown(b *Batch) {
	t.mu.Lock()
	b.OutcomeUnknown = true
	t.mu.Unlock()
	t.addCount("batches of unknown outcome sent again", 1)
}

// recordRejected counts a rejection; an invalid batch may be rejected as such, or for reasons
// that have nothing to do with it.
func (t *Workload) recordRejected(b *Batch, kind string) {
	if b.IsInvalid && kind != "not_ready" && kind != "over_allowance" {
		t.addViolation(guaranteeErrorsTyped, "an invalid batch was rejected as %q", kind)
	}
	t.addCount("batches rejected: "+kind, 1)
}

// cancelBatch cancels a batch, and tries again until that is acknowledged.
func (t *Workload) cancelBatch(ctx context.Context, rng *rand.Rand, b *Batch) {
	cancellation := apiCall{method: http.MethodDelete, path: "/v1/bundles/" + b.ID, apiKey: t.BatchKey}
	for attempt := 0; attempt < t.MaxAttempts && ctx.Err() == nil; attempt++ {
		got, err := t.call(ctx, t.randomEdge(rng), cancellation)
		if got.outcome(err) == OK {
			t.mu.Lock()
			b.CancelledAt = nowMicros()
			t.mu.Unlock()
			t.addCount("batches cancelled", 1)
			return
		}
		time.Sleep(150 * time.Millisecond)
	}
}
