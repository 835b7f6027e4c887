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

// Request describes the page that a caller requests: of one batch's results, or of the feed of
// all its tenant's batches.
type Request struct {
	ID      string // for CancelRead
	Access  batchstore.Access
	BatchID string // "" for the feed
	Token   string // position after which to read; "" for the beginning
	Limit   int    // maximum number of results on the page
	// MaxWait is how long a read without results may wait for results; 0 means not at all.
	MaxWait clock.Micros
	// ByIndex reads one batch's results from the index FromIndex on, without a token. The page
	// has at most MaxBytes of outputs (0 for no limit), but at least one result if there is one.
	ByIndex   bool
	FromIndex int
	MaxBytes  int
}

// Page is a page of results as returned to a caller.
type Page struct {
	Results    []shard.Result
	NextToken  string // where the next page begins; "" for a read by index
	State      string // of the batch; "" for the feed
	ItemCount  int    // of the batch
	HasMore    bool   // the page was truncated at its limit
	FirstIndex int    // of the first result, for a read by index
}

// isReady reports whether a read need not wait any longer, because there are results or the
// batch will have no more.
func (p Page) isReady() bool {
	isFinished := p.State != "" && p.State != string(shard.Open)
	return len(p.Results) > 0 || isFinished
}

// finishPage sorts a feed's results, which are from several stores, by position, truncates them
// to the limit, and returns the vector at which the next page begins: the position of each
// writer's last result on the page, or at least upTo if no result was left out.
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

// advance moves a vector past these results.
func advance(vector token.Vector, results []shard.Result) {
	for _, result := range results {
		vector[result.Writer] = max(vector[result.Writer], result.Position)
	}
}
