// Package verify stands in for the callers and checks every promise by what
// they and the servers saw (DESIGN §9).
package verify

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// The outcomes.
const (
	OK       Outcome = "ok"
	Rejected Outcome = "turned away"
	Unknown  Outcome = "unknown"
)

// guaranteeID names the promise that a breach is of.
type guaranteeID string

// The promises that callers see broken themselves; the others are judged from all
// records together.
const (
	guaranteeKept  guaranteeID = "kept"
	guaranteeExact guaranteeID = "exact"
	guaranteeOnce  guaranteeID = "once"
	guaranteeTyped guaranteeID = "typed"
)

type observedViolation struct {
	guarantee guaranteeID
	text      string
}

// Workload is a run of callers.
type Workload struct {
	Edges         func() []string // HTTP addresses of edges
	Seed          int64
	LiveKeys      []string
	BatchKey      string
	BatchRoute    string
	Items         int
	Chunks        int
	LiveWorkers   int
	NoFaults      bool          // nothing fails on the way: rows have to come within a second
	Batches       int           // batches to hand in
	BatchInterval time.Duration // between two batches
	MaxAttempts   int
	ReadTimeout   time.Duration // to read a batch whole

	mu           sync.Mutex
	liveRequests []*LiveRequest
	batches      []*Batch
	feed         []Result
	violations   []observedViolation
	counts       map[string]int
	client       *http.Client
	lastNumber   int
}

func nowMicros() int64 { return time.Now().UnixMicro() }

// addViolation notes what a caller saw with its own eyes, under the promise it breaks.
func (t *Workload) addViolation(guarantee guaranteeID, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.violations) < 500 {
		t.violations = append(t.violations, observedViolation{guarantee, fmt.Sprintf(format, args...)})
	}
}

func (t *Workload) addCount(what string, by int) {
	t.mu.Lock()
	t.counts[what] += by
	t.mu.Unlock()
}

func (t *Workload) newName(word string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	return fmt.Sprintf("%s-%d-%d", word, t.Seed, t.lastNumber)
}

// Run runs the workload: live workers go on until all batches are read or ctx ends.
func (t *Workload) Run(ctx context.Context) {
	t.counts = map[string]int{}
	t.client = &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer t.client.CloseIdleConnections()
	if t.MaxAttempts == 0 {
		t.MaxAttempts = 60
	}
	if t.ReadTimeout == 0 {
		t.ReadTimeout = 60 * time.Second
	}
	began := time.Now()
	liveCtx, stop := context.WithCancel(ctx)
	var live, batches sync.WaitGroup
	for i := 0; i < t.LiveWorkers; i++ {
		live.Add(1)
		go func() {
			defer live.Done()
			rng := rand.New(rand.NewSource(t.Seed + int64(i)))
			for liveCtx.Err() == nil {
				t.sendLive(ctx, rng)
			}
		}()
	}
	live.Add(1)
	go func() { defer live.Done(); t.followFeed(liveCtx, rand.New(rand.NewSource(t.Seed-1))) }()
	for i := 0; i < t.Batches && ctx.Err() == nil; i++ {
		batches.Add(1)
		go func() {
			defer batches.Done()
			t.runBatch(ctx, rand.New(rand.NewSource(t.Seed*1000+int64(i))), i)
		}()
		time.Sleep(t.BatchInterval)
	}
	batches.Wait()
	stop()
	live.Wait()
	t.addCount("milliseconds of live callers", int(time.Since(began).Milliseconds()))
	if ctx.Err() == nil {
		t.readFeedToEnd(ctx)
		t.readAllBatchesBack(ctx)
	}
}

func (t *Workload) randomEdge(rng *rand.Rand) string {
	edges := t.Edges()
	return edges[rng.Intn(len(edges))]
}
