package verify

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

// Result is the result of a batch item in the JSON form of the results API.
type Result struct {
	Writer    int    `json:"writer"`
	Position  int64  `json:"position"`
	Batch     string `json:"bundle"`
	ItemIndex int    `json:"item"`
	Status    string `json:"status"`
	Output    string `json:"output"`
}

// resultPage is a page of results in the JSON form of the results API.
type resultPage struct {
	Results []Result `json:"results"`
	Next    string   `json:"next"`
	State   string   `json:"state"`
	More    bool     `json:"more"`
}

// pageRequest specifies a page of the results of a batch or of the feed.
type pageRequest struct {
	path  string
	token string // continuation token of the previous page; "" starts at the beginning
	limit int    // maximum number of results
}

// readPage reads a page through a random edge, which waits up to a second for results. It
// reports false if the edge returned no page.
func (t *Workload) readPage(ctx context.Context, rng *rand.Rand, r pageRequest) (resultPage, bool) {
	path := fmt.Sprintf("%s?after=%s&limit=%d&wait_us=1000000", r.path, r.token, r.limit)
	got, err := t.call(ctx, t.randomEdge(rng), apiCall{method: http.MethodGet, path: path, apiKey: t.BatchKey})
	if got.outcome(err) != OK {
		if err == nil && got.errorKind != "not_ready" {
			t.addViolation(guaranteeErrorsTyped, "reading %s failed: %s: %.200s", r.path, got.errorKind, got.body)
		}
		time.Sleep(50 * time.Millisecond)
		return resultPage{}, false
	}
	var p resultPage
	if err := json.Unmarshal(got.body, &p); err != nil {
		t.addViolation(guaranteeErrorsTyped, "can't decode a page of results: %.200s", got.body)
		return resultPage{}, false
	}
	return p, true
}

// resultsPath returns the API path of the results of the batch.
func (b *Batch) resultsPath() string { return "/v1/bundles/" + b.ID + "/results" }

// readBatch reads the results of a batch, through a random edge for each page, until they are
// complete, and then once more from the start.
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
			t.addViolation(guaranteeNeverLost, "batch %s: reported as done with %d of %d results", b.ID, len(results), len(b.Inputs))
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
