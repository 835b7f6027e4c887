// Package verify simulates the callers of a running fleet, and checks every guarantee that is
// visible to callers against the records of the callers and of the model servers (DESIGN §9).
//
// A Workload is a single run of callers: Run sends requests and batches and reads results until
// all batches are complete; Verdict then checks the records. Run starts many goroutines and ends
// them before it returns. A Workload can't be run a second time.
package verify

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// guaranteeID identifies the guarantee that a caller saw violated.
type guaranteeID string

// Guarantees whose violation a single caller can detect during the run. The others are checked
// afterwards on all records together.
const (
	guaranteeNeverLost   guaranteeID = "kept"
	guaranteeExactlyOnce guaranteeID = "exact"
	guaranteeSingleRun   guaranteeID = "once"
	guaranteeErrorsTyped guaranteeID = "typed"
)

// observedViolation is a violation that a caller detected during the run.
type observedViolation struct {
	guarantee guaranteeID
	text      string
}

// Workload is a single run of callers, with its settings and records.
type Workload struct {
	Edges         func() []string // returns the HTTP addresses of the edges
	Seed          int64
	LiveKeys      []string // API keys of live callers
	BatchKey      string   // API key of the caller that submits batches
	BatchRoute    string
	Items         int // per batch
	Chunks        int // per answer
	LiveWorkers   int // number of concurrent live callers
	Batches       int // number of batches to submit
	BatchInterval time.Duration
	MaxAttempts   int           // to submit or cancel a batch; 0 means defaultMaxAttempts
	ReadTimeout   time.Duration // to read a complete batch; 0 means defaultReadTimeout
	NoFaults      bool          // no faults are injected; the stricter read bound applies

	client    *http.Client
	feedToken string // continuation token of the feed; used by the goroutine that reads the feed only

	mu             sync.Mutex // guards the fields below while Run runs
	liveRequests   []*LiveRequest
	batches        []*Batch
	feed           []Result
	violations     []observedViolation
	counts         map[string]int
	lastNameNumber int
}

const (
	defaultMaxAttempts = 60
	defaultReadTimeout = 60 * time.Second
	callTimeout        = 40 * time.Second
	idleConnections    = 64 // per edge
	maxViolations      = 500
)

func nowMicros() int64 { return time.Now().UnixMicro() }

// addViolation records a violation that a caller detected. Only the first maxViolations are kept.
func (t *Workload) addViolation(guarantee guaranteeID, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.violations) < maxViolations {
		t.violations = append(t.violations, observedViolation{guarantee, fmt.Sprintf(format, args...)})
	}
}

func (t *Workload) addCount(name string, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[name] += by
}

// uniqueName returns a name that no other request of the run has.
func (t *Workload) uniqueName(prefix string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNameNumber++
	return fmt.Sprintf("%s-%d-%d", prefix, t.Seed, t.lastNameNumber)
}

// Run runs the workload. Live callers send requests until all batches are read or ctx is done.
func (t *Workload) Run(ctx context.Context) {
	t.counts = map[string]int{}
	t.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	defer t.client.CloseIdleConnections()
	if t.MaxAttempts == 0 {
		t.MaxAttempts = defaultMaxAttempts
	}
	if t.ReadTimeout == 0 {
		t.ReadTimeout = defaultReadTimeout
	}
	startedAt := time.Now()
	liveCtx, stopLive := context.WithCancel(ctx)
	defer stopLive()
	var live sync.WaitGroup
	t.startLive(ctx, liveCtx, &live)
	t.runBatches(ctx)
	stopLive()
	live.Wait()
	t.addCount("milliseconds of live callers", int(time.Since(startedAt).Milliseconds()))
	if ctx.Err() == nil {
		t.readFeedToEnd(ctx)
		t.readAllBatchesBack(ctx)
	}
}

// startLive starts the live callers and the reader of the feed. They start no further requests
// once liveCtx is done; live requests in progress are bound to ctx instead.
func (t *Workload) startLive(ctx, liveCtx context.Context, live *sync.WaitGroup) {
	for i := range t.LiveWorkers {
		live.Go(func() {
			rng := rand.New(rand.NewSource(t.Seed + int64(i)))
			for liveCtx.Err() == nil {
				t.sendLive(ctx, rng)
			}
		})
	}
	live.Go(func() { t.followFeed(liveCtx, rand.New(rand.NewSource(t.Seed-1))) })
}

// runBatches submits all batches, one every BatchInterval, and returns when all have been read.
func (t *Workload) runBatches(ctx context.Context) {
	var batches sync.WaitGroup
	for i := 0; i < t.Batches && ctx.Err() == nil; i++ {
		batches.Go(func() { t.runBatch(ctx, rand.New(rand.NewSource(t.Seed*1000+int64(i))), i) })
		time.Sleep(t.BatchInterval)
	}
	batches.Wait()
}

func (t *Workload) randomEdge(rng *rand.Rand) string {
	edges := t.Edges()
	return edges[rng.Intn(len(edges))]
}
