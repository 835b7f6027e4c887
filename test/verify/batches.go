package verify

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Result is a listed result as a reader saw it.
type Result struct {
	Writer    int    `json:"writer"`
	Position  int64  `json:"position"`
	Batch     string `json:"bundle"`
	ItemIndex int    `json:"item"`
	Status    string `json:"status"`
	Output    string `json:"output"`
}

// Batch is one batch as its caller saw it.
type Batch struct {
	ID, Key        string
	Inputs         []string
	Accepted       bool
	OutcomeUnknown bool // some try was of unknown outcome
	CancelledAt    int64
	SentAt         int64
	AnsweredAt     int64
	CompleteAt     int64 // when the last result was read
	Results        []Result
	SeenAt         []int64 // when each row was first read by the one who waited for it
	IsInvalid      bool    // handed in with a bad item: must be rejected
}

// readAllBatchesBack is the day's end: every accepted batch's list is read back whole.
func (t *Workload) readAllBatchesBack(ctx context.Context) {
	rng := rand.New(rand.NewSource(t.Seed - 3))
	deadline := time.Now().Add(t.ReadTimeout)
	for _, b := range t.batches {
		if !b.Accepted || b.CancelledAt > 0 || len(b.Results) < len(b.Inputs) {
			continue
		}
		results := -1
		for results < len(b.Results) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				t.addViolation(guaranteeKept, "bundle %s: only %d of %d results at the day's end", b.ID, max(results, 0), len(b.Results))
				break
			}
			p, ok := t.readPage(ctx, rng, "/v1/bundles/"+b.ID+"/results", "", 1000)
			if !ok {
				continue
			}
			if results = len(p.Results); results > len(b.Results) || fmt.Sprint(p.Results) != fmt.Sprint(b.Results[:results]) {
				t.addViolation(guaranteeExact, "bundle %s: read again at the day's end it reads otherwise", b.ID)
				break
			}
		}
		t.addCount("lists read back at the day's end", 1)
	}
}

// newBatch makes a batch and its items; an invalid one has an item without input.
func (t *Workload) newBatch(invalid bool) (*Batch, []map[string]any) {
	b := &Batch{Key: t.newName("bundle"), IsInvalid: invalid, SentAt: nowMicros()}
	items := []map[string]any{}
	for n := range t.Items {
		input := fmt.Sprintf("%s/item-%d", b.Key, n)
		b.Inputs = append(b.Inputs, input)
		items = append(items, map[string]any{"id": strconv.Itoa(n), "input": input})
	}
	if invalid {
		items[len(items)-1]["input"] = ""
	}
	return b, items
}

func (t *Workload) runBatch(ctx context.Context, rng *rand.Rand, i int) {
	b, items := t.newBatch(i%7 == 6)
	t.mu.Lock()
	t.batches = append(t.batches, b)
	t.mu.Unlock()
	for attempt := 0; attempt < t.MaxAttempts && ctx.Err() == nil; attempt++ {
		got, err := t.call(ctx, t.randomEdge(rng), http.MethodPost, "/v1/routes/"+t.BatchRoute+"/bundles", t.BatchKey, b.Key, map[string]any{"items": items})
		outcome := got.outcome(err)
		if outcome == Unknown {
			t.mu.Lock()
			b.OutcomeUnknown = true
			t.mu.Unlock()
			t.addCount("bundles of unknown outcome asked again", 1)
		}
		if outcome == OK {
			var submitted struct {
				Batch string `json:"bundle"`
			}
			json.Unmarshal(got.body, &submitted)
			t.mu.Lock()
			b.Accepted, b.ID, b.AnsweredAt = true, submitted.Batch, nowMicros()
			t.mu.Unlock()
			break
		}
		if b.IsInvalid && got.errorKind == "bad_input" {
			return
		}
		if b.IsInvalid && outcome == Rejected && got.errorKind != "not_ready" && got.errorKind != "over_allowance" {
			t.addViolation(guaranteeTyped, "a bad bundle was turned away as %q", got.errorKind)
		}
		if outcome == Rejected {
			t.addCount("bundles turned away: "+got.errorKind, 1)
		}
		time.Sleep(time.Duration(100+rng.Intn(200)) * time.Millisecond)
	}
	if !b.Accepted {
		return
	}
	if i%9 == 8 {
		t.cancelBatch(ctx, rng, b)
		return
	}
	t.readBatch(ctx, rng, b)
}

// cancelBatch ends a batch half way.
func (t *Workload) cancelBatch(ctx context.Context, rng *rand.Rand, b *Batch) {
	for attempt := 0; attempt < t.MaxAttempts && ctx.Err() == nil; attempt++ {
		got, err := t.call(ctx, t.randomEdge(rng), http.MethodDelete, "/v1/bundles/"+b.ID, t.BatchKey, "", nil)
		if got.outcome(err) == OK {
			t.mu.Lock()
			b.CancelledAt = nowMicros()
			t.mu.Unlock()
			t.addCount("bundles ended", 1)
			return
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// readSlowly reads a whole list over a connection that takes a few bytes at a time:
// it gets the same, and the others are judged beside it.
func (t *Workload) readSlowly(ctx context.Context, rng *rand.Rand, b *Batch, path string) {
	conn, err := net.Dial("tcp", t.randomEdge(rng))
	if err != nil {
		return
	}
	defer conn.Close()
	if limited, ok := conn.(*net.TCPConn); ok {
		limited.SetReadBuffer(2048)
	}
	fmt.Fprintf(conn, "GET %s?limit=1000 HTTP/1.1\r\nHost: edge\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", path, t.BatchKey)
	var raw []byte
	chunk := make([]byte, 256)
	for ctx.Err() == nil {
		count, err := conn.Read(chunk)
		raw = append(raw, chunk[:count]...)
		if err != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return // the edge went, or a slot was in passage
	}
	var p resultPage
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil {
		return
	}
	if len(p.Results) > len(b.Results) || fmt.Sprint(p.Results) != fmt.Sprint(b.Results[:len(p.Results)]) {
		t.addViolation(guaranteeExact, "bundle %s: read again slowly it reads otherwise", b.ID)
	}
	t.addCount("lists read slowly", 1)
}

type resultPage struct {
	Results []Result `json:"results"`
	Next    string   `json:"next"`
	State   string   `json:"state"`
	More    bool     `json:"more"`
}

func (t *Workload) readPage(ctx context.Context, rng *rand.Rand, path, token string, limit int) (resultPage, bool) {
	got, err := t.call(ctx, t.randomEdge(rng), http.MethodGet, fmt.Sprintf("%s?after=%s&limit=%d&wait_us=1000000", path, token, limit), t.BatchKey, "", nil)
	if got.outcome(err) != OK {
		if err == nil && got.errorKind != "not_ready" {
			t.addViolation(guaranteeTyped, "reading %s: %s: %.200s", path, got.errorKind, got.body)
		}
		time.Sleep(50 * time.Millisecond)
		return resultPage{}, false
	}
	var p resultPage
	if err := json.Unmarshal(got.body, &p); err != nil {
		t.addViolation(guaranteeTyped, "a page that can't be read: %.200s", got.body)
		return resultPage{}, false
	}
	return p, true
}

// readBatch follows a batch's list over changing edges until it is whole,
// then reads it again from the start somewhere else.
func (t *Workload) readBatch(ctx context.Context, rng *rand.Rand, b *Batch) {
	path := "/v1/bundles/" + b.ID + "/results"
	deadline := time.Now().Add(t.ReadTimeout)
	token := ""
	var results []Result
	var seenAt []int64
	for len(results) < len(b.Inputs) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			t.addViolation(guaranteeKept, "bundle %s (%s): only %d of %d results after %v", b.ID, b.Key, len(results), len(b.Inputs), t.ReadTimeout)
			break
		}
		p, ok := t.readPage(ctx, rng, path, token, 1+rng.Intn(16))
		if !ok {
			continue
		}
		results = append(results, p.Results...)
		for range p.Results {
			seenAt = append(seenAt, nowMicros())
		}
		token = p.Next
		if p.State == "done" && !p.More && len(p.Results) == 0 && len(results) < len(b.Inputs) {
			t.addViolation(guaranteeKept, "bundle %s: done with %d of %d results", b.ID, len(results), len(b.Inputs))
			break
		}
	}
	t.mu.Lock()
	b.Results, b.SeenAt, b.CompleteAt = results, seenAt, nowMicros()
	t.mu.Unlock()
	t.readAgain(ctx, rng, b, path)
}

// readAgain reads a batch's list once more at some edge. That edge may hear of the
// last rows a little later, but what it shows must be the list's beginning.
func (t *Workload) readAgain(ctx context.Context, rng *rand.Rand, b *Batch, path string) {
	results := b.Results
	for attempt := 0; attempt < 60 && ctx.Err() == nil; attempt++ {
		p, ok := t.readPage(ctx, rng, path, "", 1000)
		if !ok {
			continue
		}
		if len(p.Results) > len(results) || fmt.Sprint(p.Results) != fmt.Sprint(results[:len(p.Results)]) {
			t.addViolation(guaranteeExact, "bundle %s: read again it reads otherwise (%d rows, %d before)", b.ID, len(p.Results), len(results))
			return
		}
		if len(p.Results) == len(results) {
			t.addCount("lists read twice", 1)
			if rng.Intn(5) == 0 {
				t.readSlowly(ctx, rng, b, path)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.addViolation(guaranteeExact, "bundle %s: read again it stays shorter", b.ID)
}
