package verify

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

// Result is the result of an item as a reader saw it.
type Result struct {
	Writer    int    `json:"writer"`
	Position  int64  `json:"position"`
	Batch     string `json:"bundle"`
	ItemIndex int    `json:"item"`
	Status    string `json:"status"`
	Output    string `json:"output"`
}

// resultPage is a page of results as an edge writes it.
type resultPage struct {
	Results []Result `json:"results"`
	Next    string   `json:"next"`
	State   string   `json:"state"`
	More    bool     `json:"more"`
}

// pageRequest names a page: of a batch, or of the feed.
type pageRequest struct {
	path  string
	token string // from the page before; "": the beginning
	limit int    // results
}

// readPage reads a page at an edge, which waits up to a second for results; false where it
// gave none.
func (t *Workload) readPage(ctx context.Context, rng *rand.Rand, r pageRequest) (resultPage, bool) {
	path := fmt.Sprintf("%s?after=%s&limit=%d&wait_us=1000000", r.path, r.token, r.limit)
	got, err := t.call(ctx, t.randomEdge(rng), apiCall{method: http.MethodGet, path: path, apiKey: t.BatchKey})
	if got.outcome(err) != OK {
		if err == nil && got.errorKind != "not_ready" {
			t.addViolation(guaranteeErrorsTyped, "reading %s: %s: %.200s", r.path, got.errorKind, got.body)
		}
		time.Sleep(50 * time.Millisecond)
		return resultPage{}, false
	}
	var p resultPage
	if err := json.Unmarshal(got.body, &p); err != nil {
		t.addViolation(guaranteeErrorsTyped, "a page that can't be read: %.200s", got.body)
		return resultPage{}, false
	}
	return p, true
}

// resultsPath is the path of a batch's results.
func (b *Batch) resultsPath() string { return "/v1/bundles/" + b.ID + "/results" }

// readBatch reads a batch's results over changing edges until they are complete, and then once
// more from the start at another edge.
func (t *Workload) readBatch(ctx context.Context, rng *rand.Rand, b *Batch) {
	deadline := time.Now().Add(t.ReadTimeout)
	token := ""
	var results []Result
	var seenAt []int64
	for len(results) < len(b.Inputs) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			t.addViolation(guaranteeNeverLost, "batch %s (%s): only %d of %d results after %v", b.ID, b.Key, len(results), len(b.Inputs), t.ReadTimeout)
			break
		}
		p, ok := t.readPage(ctx, rng, pageRequest{b.resultsPath(), token, 1 + rng.Intn(16)})
		if !ok {
			continue
		}
		results = append(results, p.Results...)
		for range p.Results {
			seenAt = append(seenAt, nowMicros())
		}
		token = p.Next
		isAtEnd := p.State == "done" && !p.More && len(p.Results) == 0
		if isAtEnd && len(results) < len(b.Inputs) {
			t.addViolation(guaranteeNeverLost, "batch %s: done with %d of %d results", b.ID, len(results), len(b.Inputs))
			break
		}
	}
	t.mu.Lock()
	b.Results = results
	b.SeenAt = seenAt
	b.CompleteAt = nowMicros()
	t.mu.Unlock()
	t.readAgain(ctx, rng, b)
}
