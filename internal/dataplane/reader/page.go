package reader

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
)

// Request is the page that a caller wants: of one batch's results, or of the feed over
// all its batches.
type Request struct {
	ID      string // for CancelRead
	Access  batchstore.Access
	BatchID string // "" for the feed
	Token   string // from where on; "" for the beginning
	Limit   int    // results on the page
	// MaxWait is how long a read without results may wait for some; 0: not at all.
	MaxWait clock.Micros
	// ByIndex reads one batch's results from the index FromIndex on, without a token: at
	// most MaxBytes of outputs (0: unlimited), but at least one result.
	ByIndex   bool
	FromIndex int
	MaxBytes  int
}

// Page is what a caller gets.
type Page struct {
	Results    []shard.Result
	NextToken  string // where the next page begins; "" for a read by index
	State      string // of the batch; "" for the feed
	ItemCount  int    // of the batch
	HasMore    bool   // the page was cut at its limit
	FirstIndex int    // of the first result, for a read by index
}

// isReady tells whether a read need not wait any longer: there are results, or
// the batch will have no more.
func (p Page) isReady() bool {
	isFinished := p.State != "" && p.State != string(shard.Open)
	return len(p.Results) > 0 || isFinished
}

// finishPage puts a feed's results, which came from several stores, into the order of
// their positions, cuts them to the limit, and returns the vector behind the page: each
// writer's last result on it, and where nothing was cut all that was readable.
func finishPage(page *Page, after, upTo token.Vector, limit int) token.Vector {
	slices.SortStableFunc(page.Results, func(a, b shard.Result) int {
		return cmp.Or(cmp.Compare(a.Position, b.Position), cmp.Compare(a.Writer, b.Writer))
	})
	if limit > 0 && len(page.Results) > limit {
		page.Results = page.Results[:limit]
		page.HasMore = true
	}
	next := token.Vector{}
	maps.Copy(next, after)
	if !page.HasMore {
		for writer, position := range upTo {
			next[writer] = max(next[writer], position)
		}
	}
	advance(next, page.Results)
	return next
}

// advance moves a vector behind these results.
func advance(vector token.Vector, results []shard.Result) {
	for _, result := range results {
		vector[result.Writer] = max(vector[result.Writer], result.Position)
	}
}
