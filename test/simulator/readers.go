package simulator

import (
	"fmt"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/requests"
)

// allHealthySince says whether no daemon had a fault since a time.
func (v *Workload) allHealthySince(since clock.Micros) bool {
	for _, name := range v.world.nodeNames {
		if !v.world.Nodes[name].healthySince(since) {
			return false
		}
	}
	return true
}

// followBatch reads one batch's results as they come, at edges that change only when one gives
// no answer, as a waiting reader does, and checks how soon it has each.
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
			v.checkResultTime(b, result, n)
		}
		v.followBatch(b, page.NextToken)
	})
}

const (
	// maxResultLag is the maximum from a complete result to a waiting reader.
	maxResultLag = clock.Second
	// maxResultLagAfterFault is the same for a result that a fault may have delayed.
	maxResultLagAfterFault = 13 * clock.Second
	// faultEffect is how long a fault may have an effect.
	faultEffect = 15 * clock.Second
)

// checkResultTime checks how long a result was complete before a waiting reader had it.
func (v *Workload) checkResultTime(b *Batch, result shard.Result, n *Node) {
	if b.completedAt[result.Item] == 0 {
		return
	}
	// No caller can wait for a batch's results before its acknowledgement.
	readableAt := max(b.completedAt[result.Item], b.AcceptedAt)
	lag := v.world.Now - readableAt
	v.countCheck(resultsTimely)
	isLate := false
	switch {
	case v.allHealthySince(readableAt - faultEffect):
		v.SlowestResult = max(v.SlowestResult, lag)
		isLate = lag > maxResultLag
	case v.allHealthySince(readableAt + clock.Second):
		isLate = lag > maxResultLagAfterFault
	}
	if isLate {
		v.reportViolation(resultsTimely, "%s/%d was complete %d us before a waiting reader at %s could have it", b.ID, result.Item, lag, n.Name)
	}
}

// checkResult checks a result that a reader received: its status, its output, and that its
// position in the store has never been another item's.
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
		read := reader.Request{ID: fmt.Sprintf("f-%d", v.lastNumber), Token: v.feedToken, Limit: 1 + v.world.Random.Intn(20)}
		v.callEdge(n, requests.PageRequest{APIKey: callerKey, Read: read}, func(response any, err error) {
			if page, ok := response.(reader.Page); ok && err == nil {
				v.feedToken = page.NextToken
				v.LastServed[n.Name+" feed"] = v.world.Now
				for _, result := range page.Results {
					v.checkFeedResult(result)
				}
			}
			v.world.After(v.world.randomBetween(20, 150)*clock.Millisecond, next)
		})
	}
	next()
}

// checkFeedResult checks that the feed gives each item once, and a batch's in the order of
// their positions.
func (v *Workload) checkFeedResult(result shard.Result) {
	v.FeedResults++
	v.checkResult(result, "feed")
	v.countCheck(readerResumes)
	item := fmt.Sprintf("%s/%d", result.Batch, result.Item)
	v.feedItemCounts[item]++
	if v.feedItemCounts[item] > 1 {
		v.reportViolation(readerResumes, "feed: %s seen twice", item)
	}
	last := v.feedLastPositions[result.Batch]
	if result.Position <= last {
		v.reportViolation(readerResumes, "feed: batch %s goes back from position %d to %d", result.Batch, last, result.Position)
	}
	v.feedLastPositions[result.Batch] = result.Position
}

// maxPages bounds the pages that are read of one batch.
const maxPages = 200

// readBack reads a batch's results page by page from the start, and checks that they are all
// there.
func (v *Workload) readBack(b *Batch) {
	w := v.world
	read := &batchRead{seen: map[int]bool{}}
	for attempt := 0; !read.complete && attempt < maxPages; attempt++ {
		answered := false
		n := v.randomEdge()
		request := reader.Request{ID: "all", Token: read.token, Limit: 1 + w.Random.Intn(30)}
		v.callEdge(n, b.pageRequest(request), func(response any, err error) {
			answered = true
			if page, ok := response.(reader.Page); ok && err == nil {
				v.checkPage(b, read, page)
			}
		})
		w.RunUntil(3*clock.Second, func() bool { return answered })
		if !read.complete {
			w.RunFor(30 * clock.Millisecond)
		}
	}
	if read.count != b.ItemCount || !read.complete {
		v.reportViolation(batchKept, "list of %s: %d of %d results at the end of the run", b.ID, read.count, b.ItemCount)
	}
}

// batchRead is how far a batch's results have been read.
type batchRead struct {
	token        string
	seen         map[int]bool // items
	lastPosition int64
	count        int  // results
	complete     bool // the batch is closed and all its results were read
}

func (v *Workload) checkPage(b *Batch, read *batchRead, page reader.Page) {
	read.token = page.NextToken
	for _, result := range page.Results {
		v.checkResult(result, "list")
		if read.seen[result.Item] || result.Position <= read.lastPosition {
			v.reportViolation(resultsExactlyOnce, "list of %s: item %d at position %d after %d", b.ID, result.Item, result.Position, read.lastPosition)
		}
		read.seen[result.Item] = true
		read.lastPosition = result.Position
		read.count++
	}
	read.complete = read.count >= b.ItemCount && page.State != string(shard.Open)
}
