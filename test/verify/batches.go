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

// Batch records one batch as its caller observed it.
type Batch struct {
	ID, Key        string
	Inputs         []string
	Accepted       bool
	OutcomeUnknown bool     // at least one submission attempt had an unknown outcome
	IsInvalid      bool     // submitted with an invalid item; must be rejected
	Results        []Result // in the order in which the caller read them
	// Times are in microseconds since the Unix epoch; 0 until the event has happened.
	SentAt      int64
	AnsweredAt  int64
	CancelledAt int64
	CompleteAt  int64   // when the last result was read
	SeenAt      []int64 // when each of Results was first read by the waiting reader
}

// item is one batch item in the JSON form of the submission API.
type item struct {
	ID    string `json:"id"`
	Input string `json:"input"`
}

// newBatch creates a batch and its items. The last item of an invalid batch has no input.
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

// runBatch submits batch number i and reads its results. Every seventh batch is invalid, and
// every ninth is cancelled instead of read.
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

// submitBatch submits a batch, with retries, and reports whether it was accepted.
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
	json.Unmarshal(got.body, &submitted) // without an ID, reading the results fails as a violation
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

// recordRejected counts a rejection. An invalid batch may also be rejected because the edge is
// not ready or the tenant is over its allowance; any other error kind is a violation.
func (t *Workload) recordRejected(b *Batch, kind string) {
	if b.IsInvalid && kind != "not_ready" && kind != "over_allowance" {
		t.addViolation(guaranteeErrorsTyped, "an invalid batch was rejected as %q", kind)
	}
	t.addCount("batches rejected: "+kind, 1)
}

// cancelBatch cancels a batch, with retries until the cancellation is acknowledged.
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
