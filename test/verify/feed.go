package verify

import (
	"context"
	"math/rand"
	"sync"
)

// followFeed reads the feed over changing edges.
func (t *Workload) followFeed(ctx context.Context, rng *rand.Rand) {
	token := ""
	for ctx.Err() == nil {
		p, ok := t.readPage(ctx, rng, "/v1/results", token, 1+rng.Intn(50))
		if !ok {
			continue
		}
		token = p.Next
		t.mu.Lock()
		t.feed = append(t.feed, p.Results...)
		t.mu.Unlock()
	}
	t.mu.Lock()
	t.counts["feed token bytes"] = len(token)
	t.lastNumber++
	t.mu.Unlock()
	t.keepLastToken(token)
}

var lastTokens sync.Map

func (t *Workload) keepLastToken(token string) { lastTokens.Store(t, token) }

// readFeedToEnd reads the feed to its end, after all batches are whole.
func (t *Workload) readFeedToEnd(ctx context.Context) {
	rng := rand.New(rand.NewSource(t.Seed - 2))
	value, _ := lastTokens.LoadAndDelete(t)
	token, _ := value.(string)
	emptyPages := 0
	for attempts := 0; emptyPages < 2 && attempts < 200 && ctx.Err() == nil; attempts++ {
		p, ok := t.readPage(ctx, rng, "/v1/results", token, 500)
		if !ok {
			continue
		}
		token = p.Next
		t.feed = append(t.feed, p.Results...)
		if len(p.Results) == 0 {
			emptyPages++
		} else {
			emptyPages = 0
		}
	}
}
