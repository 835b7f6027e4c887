package verify

import (
	"context"
	"math/rand"
	"sync"
)

// followFeed reads the feed over changing edges.
func (t *Workload) followFeed(ctx context.Context, chance *rand.Rand) {
	token := ""
	for ctx.Err() == nil {
		p, ok := t.page(ctx, chance, "/v1/results", token, 1+chance.Intn(50))
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
	t.number++
	t.mu.Unlock()
	t.lastToken(token)
}

var lastTokens sync.Map

func (t *Workload) lastToken(token string) { lastTokens.Store(t, token) }

// lastFeed reads the feed to its end, after all bundles are whole.
func (t *Workload) lastFeed(ctx context.Context) {
	chance := rand.New(rand.NewSource(t.Seed - 2))
	value, _ := lastTokens.LoadAndDelete(t)
	token, _ := value.(string)
	quiet := 0
	for tries := 0; quiet < 2 && tries < 200 && ctx.Err() == nil; tries++ {
		p, ok := t.page(ctx, chance, "/v1/results", token, 500)
		if !ok {
			continue
		}
		token = p.Next
		t.feed = append(t.feed, p.Results...)
		if len(p.Results) == 0 {
			quiet++
		} else {
			quiet = 0
		}
	}
}
