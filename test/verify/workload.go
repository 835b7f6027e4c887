// Package verify stands in for the callers of a running fleet, and checks every guarantee
// that callers can see by what they and the model servers recorded (DESIGN §9).
//
// A Workload is one run of callers: Run sends requests and batches and reads results until
// all batches are complete, Verdict then checks the records. Run uses many goroutines of its
// own and ends them; a Workload runs once.
package verify

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// guaranteeID names the guarantee that a violation is of.
type guaranteeID string

// The guarantees that callers see violated themselves; the others are checked on all records
// together.
const (
	guaranteeNeverLost      guaranteeID = "kept"
	guaranteeExactlyOnce    guaranteeID = "exact"
	guaranteeRunsAtMostOnce guaranteeID = "once"
	guaranteeErrorsTyped    guaranteeID = "typed"
)

// observedViolation is a violation that a caller saw.
type observedViolation struct {
	guarantee guaranteeID
	text      string
}

// Workload is a run of callers.
type Workload struct {
	Edges         func() []string // HTTP addresses of edges
	Seed          int64
	LiveKeys      []string // API keys of live callers
	BatchKey      string   // API key of the caller of batches
	BatchRoute    string
	Items         int // of a batch
	Chunks        int // of an answer
	LiveWorkers   int // live callers at once
	Batches       int // to submit
	BatchInterval time.Duration
	MaxAttempts   int           // to submit or cancel a batch; 0: defaultMaxAttempts
	ReadTimeout   time.Duration // to read a complete batch; 0: defaultReadTimeout
	NoFaults      bool          // no fault is injected: results have to be readable within a second

	client    *http.Client
	feedToken string // where the feed's reader is; only its goroutine uses it

	mu             sync.Mutex // guards what follows while Run runs
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
	idleConnections    = 64 // to an edge
	maxViolations      = 500
)

func nowMicros() int64 { return time.Now().UnixMicro() }

// addViolation records what a caller saw, under the guarantee that it violates.
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

// uniqueName is a name that no other request of the run has.
func (t *Workload) uniqueName(prefix string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNameNumber++
	return fmt.Sprintf("%s-%d-%d", prefix, t.Seed, t.lastNameNumber)
}

// Run runs the workload: live callers go on until all batches are read or ctx ends.
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

// startLive starts the live callers and the feed's reader. They begin nothing new once
// liveCtx ends; what they have begun goes on for as long as ctx.
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

// runBatches submits all batches, one each BatchInterval, and returns when they are read.
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
