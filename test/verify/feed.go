package verify

import (
	"context"
	"math/rand"
)

// feedPath is the path of the results feed, which has the results of all batches of a tenant.
const feedPath = "/v1/results"

// maxFeedPages is the maximum number of pages that readFeedToEnd reads.
const maxFeedPages = 200

// followFeed reads the feed through a random edge for each page, until ctx is done.
func (t *Workload) followFeed(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		p, ok := t.readPage(ctx, rng, pageRequest{path: feedPath, token: t.feedToken, limit: 1 + rng.Intn(50)})
		if ok {
			t.recordFeedPage(p)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[feedTokenBytes] = len(t.feedToken)
}

// feedTokenBytes is the name of the count that is positive if the feed was read.
const feedTokenBytes = "feed token bytes"

func (t *Workload) recordFeedPage(p resultPage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.feedToken = p.Next
	t.feed = append(t.feed, p.Results...)
}

// readFeedToEnd reads the rest of the feed after all batches are complete. Two successive empty
// pages mark the end.
func (t *Workload) readFeedToEnd(ctx context.Context) {
	rng := rand.New(rand.NewSource(t.Seed - 2))
	emptyPages := 0
	for page := 0; emptyPages < 2 && page < maxFeedPages && ctx.Err() == nil; page++ {
		p, ok := t.readPage(ctx, rng, pageRequest{path: feedPath, token: t.feedToken, limit: 500})
		if !ok {
			continue
		}
		t.recordFeedPage(p)
		emptyPages++
		if len(p.Results) > 0 {
			emptyPages = 0
		}
	}
}
