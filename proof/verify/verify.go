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
	OK      Outcome = "ok"
	Refused Outcome = "turned away"
	Unknown Outcome = "unknown"
)

// promise names the promise that a breach is of.
type promise string

// The promises that callers see broken themselves; the others are judged from all
// records together.
const (
	promiseKept  promise = "kept"
	promiseExact promise = "exact"
	promiseOnce  promise = "once"
	promiseTyped promise = "typed"
)

type breach struct {
	promise promise
	text    string
}

// Workload is a run of callers.
type Workload struct {
	Edges       func() []string // HTTP addresses of edges
	Seed        int64
	LiveKeys    []string
	BundleKey   string
	BundleRoute string
	Items       int
	Pieces      int
	LiveWorkers int
	Quiet       bool          // nothing fails on the way: rows have to come within a second
	Bundles     int           // bundles to hand in
	Pace        time.Duration // between two bundles
	MostTries   int
	Patience    time.Duration // to read a bundle whole

	mu       sync.Mutex
	lives    []*Live
	bundles  []*Bundle
	feed     []Row
	breaches []breach
	counts   map[string]int
	client   *http.Client
	number   int
}

func now() int64 { return time.Now().UnixMicro() }

// addBreach notes what a caller saw with its own eyes, under the promise it breaks.
func (t *Workload) addBreach(promise promise, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.breaches) < 500 {
		t.breaches = append(t.breaches, breach{promise, fmt.Sprintf(format, args...)})
	}
}

func (t *Workload) count(what string, by int) {
	t.mu.Lock()
	t.counts[what] += by
	t.mu.Unlock()
}

func (t *Workload) name(word string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	return fmt.Sprintf("%s-%d-%d", word, t.Seed, t.number)
}

// Run runs the workload: live workers go on until all bundles are read or ctx ends.
func (t *Workload) Run(ctx context.Context) {
	t.counts = map[string]int{}
	t.client = &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer t.client.CloseIdleConnections()
	if t.MostTries == 0 {
		t.MostTries = 60
	}
	if t.Patience == 0 {
		t.Patience = 60 * time.Second
	}
	began := time.Now()
	liveCtx, stop := context.WithCancel(ctx)
	var live, bundles sync.WaitGroup
	for i := 0; i < t.LiveWorkers; i++ {
		live.Add(1)
		go func() {
			defer live.Done()
			chance := rand.New(rand.NewSource(t.Seed + int64(i)))
			for liveCtx.Err() == nil {
				t.live(ctx, chance)
			}
		}()
	}
	live.Add(1)
	go func() { defer live.Done(); t.followFeed(liveCtx, rand.New(rand.NewSource(t.Seed-1))) }()
	for i := 0; i < t.Bundles && ctx.Err() == nil; i++ {
		bundles.Add(1)
		go func() {
			defer bundles.Done()
			t.bundle(ctx, rand.New(rand.NewSource(t.Seed*1000+int64(i))), i)
		}()
		time.Sleep(t.Pace)
	}
	bundles.Wait()
	stop()
	live.Wait()
	t.count("milliseconds of live callers", int(time.Since(began).Milliseconds()))
	if ctx.Err() == nil {
		t.lastFeed(ctx)
		t.readAllBundles(ctx)
	}
}

func (t *Workload) edge(chance *rand.Rand) string {
	edges := t.Edges()
	return edges[chance.Intn(len(edges))]
}
