package simulator

import (
	"fmt"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/requests"
)

// allHealthySince tells whether nothing was done to any daemon since a time.
func (v *Workload) allHealthySince(since clock.Micros) bool {
	for _, name := range v.world.nodeNames {
		if !v.world.Nodes[name].healthySince(since) {
			return false
		}
	}
	return true
}

// followBatch follows one batch's list at edges that change only when one gives no
// answer, as a waiting reader does, and times each row.
func (v *Workload) followBatch(b *Batch, token string) {
	n := v.randomEdge()
	if !v.Reading || b.EndedAt > 0 || b.resultsRead >= b.ItemCount {
		return
	}
	if n == nil {
		v.world.After(100*clock.Millisecond, func() { v.followBatch(b, token) })
		return
	}
	v.lastNumber++
	read := reader.Request{ID: fmt.Sprintf("r-%d", v.lastNumber), Token: token, Limit: 100, MaxWait: 2 * clock.Second}
	v.callEdge(n, b.pageRequest(read), func(response any, err error) {
		page, _ := response.(reader.Page)
		if err != nil {
			v.world.After(50*clock.Millisecond, func() { v.followBatch(b, token) })
			return
		}
		for _, result := range page.Results {
			b.resultsRead++
			v.checkResult(result, "list")
			done := b.completedAt[result.Item]
			if done == 0 {
				continue
			}
			// Nobody can wait for a list before its acknowledgement.
			lag := v.world.Now - max(done, b.AcceptedAt)
			v.countCheck(resultsTimely)
			switch {
			case v.allHealthySince(max(done, b.AcceptedAt) - 15*clock.Second):
				v.SlowestResult = max(v.SlowestResult, lag)
				if lag > clock.Second {
					v.reportViolation(resultsTimely, "%s/%d was whole %d us before a waiting reader at %s could have it", b.ID, result.Item, lag, n.Name)
				}
			case lag > 13*clock.Second && v.allHealthySince(max(done, b.AcceptedAt)+clock.Second):
				v.reportViolation(resultsTimely, "%s/%d was whole %d us before a waiting reader at %s could have it", b.ID, result.Item, lag, n.Name)
			}
		}
		v.followBatch(b, page.NextToken)
	})
}

func (v *Workload) checkResult(result shard.Result, source string) {
	key := fmt.Sprintf("%d@%d", result.Writer, result.Position)
	item := fmt.Sprintf("%s/%d", result.Batch, result.Item)
	v.countCheck(resultsExactlyOnce)
	b := v.batchByID[result.Batch]
	if b != nil && b.Forwarded && result.Status == shard.StatusFailed {
		v.countCheck(batchKept)
		if b.failuresByItem[result.Item] < forwardAttempts {
			v.reportViolation(batchKept, "%s: %s is listed as failed (%s) though servers failed it %d times only", source, item, result.Output, b.failuresByItem[result.Item])
		}
	}
	if b != nil && result.Status == shard.StatusOK {
		v.countCheck(answerIntact)
		if want := b.expectedOutput(result.Item); result.Output != want {
			v.reportViolation(answerIntact, "%s: %s holds %q, not its answer %q", source, item, result.Output, want)
		}
	}
	if known, ok := v.itemAtPosition[key]; ok && known != item {
		v.reportViolation(resultsExactlyOnce, "%s: position %s held %s and now holds %s", source, key, known, item)
	}
	v.itemAtPosition[key] = item
}

// FollowFeed reads the feed over changing edges for as long as Reading is true.
func (v *Workload) FollowFeed() {
	v.Reading = true
	var next func()
	next = func() {
		n := v.randomEdge()
		if !v.Reading {
			return
		}
		if n == nil {
			v.world.After(100*clock.Millisecond, next)
			return
		}
		v.lastNumber++
		v.callEdge(n, requests.PageRequest{APIKey: callerKey, Read: reader.Request{ID: fmt.Sprintf("f-%d", v.lastNumber), Token: v.feedToken, Limit: 1 + v.world.Random.Intn(20)}}, func(response any, err error) {
			if page, ok := response.(reader.Page); ok && err == nil {
				v.feedToken = page.NextToken
				v.LastServed[n.Name+" feed"] = v.world.Now
				for _, result := range page.Results {
					v.FeedResults++
					v.checkResult(result, "feed")
					v.countCheck(readerResumes)
					item := fmt.Sprintf("%s/%d", result.Batch, result.Item)
					if v.feedItemCounts[item]++; v.feedItemCounts[item] > 1 {
						v.reportViolation(readerResumes, "feed: %s seen twice", item)
					}
					if result.Position <= v.feedLastPositions[result.Batch] {
						v.reportViolation(readerResumes, "feed: bundle %s goes back from position %d to %d", result.Batch, v.feedLastPositions[result.Batch], result.Position)
					}
					v.feedLastPositions[result.Batch] = result.Position
				}
			}
			v.world.After(v.world.randomBetween(20, 150)*clock.Millisecond, next)
		})
	}
	next()
}

// readBack reads a batch's list page by page from the start.
func (v *Workload) readBack(b *Batch) {
	w := v.world
	token, count, done, attempts := "", 0, false, 0
	seen := map[int]bool{}
	last := int64(0)
	for !done && attempts < 200 {
		attempts++
		answered := false
		v.callEdge(v.randomEdge(), b.pageRequest(reader.Request{ID: "all", Token: token, Limit: 1 + w.Random.Intn(30)}), func(response any, err error) {
			answered = true
			page, ok := response.(reader.Page)
			if err != nil || !ok {
				return
			}
			token = page.NextToken
			for _, result := range page.Results {
				v.checkResult(result, "list")
				if seen[result.Item] || result.Position <= last {
					v.reportViolation(resultsExactlyOnce, "list of %s: item %d at position %d after %d", b.ID, result.Item, result.Position, last)
				}
				seen[result.Item], last = true, result.Position
				count++
			}
			done = count >= b.ItemCount && page.State != string(shard.Open)
		})
		w.RunUntil(3*clock.Second, func() bool { return answered })
		if !done {
			w.RunFor(30 * clock.Millisecond)
		}
	}
	if count != b.ItemCount || !done {
		v.reportViolation(batchKept, "list of %s: %d of %d results at the day's end", b.ID, count, b.ItemCount)
	}
}
