package reader

import (
	"maps"
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
)

func TestFeedPageIsSortedAndLimited(t *testing.T) {
	results := []shard.Result{{Writer: 2, Position: 7}, {Writer: 2, Position: 3}, {Writer: 1, Position: 3}, {Writer: 1, Position: 9}}
	after, upTo := token.Vector{1: 2, 3: 4}, token.Vector{1: 12, 2: 10}
	for name, c := range map[string]struct {
		limit int
		count int
		more  bool
		next  token.Vector
	}{
		"no limit":            {0, 4, false, token.Vector{1: 12, 2: 10, 3: 4}},
		"at its limit":        {4, 4, false, token.Vector{1: 12, 2: 10, 3: 4}},
		"truncated by one":    {3, 3, true, token.Vector{1: 3, 2: 7, 3: 4}},
		"truncated to a half": {2, 2, true, token.Vector{1: 3, 2: 3, 3: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			page := Page{Results: append([]shard.Result(nil), results...)}
			next := finishPage(&page, after, upTo, c.limit)
			if len(page.Results) != c.count || page.HasMore != c.more {
				t.Errorf("page has %d results, has more: %v", len(page.Results), page.HasMore)
			}
			if first := page.Results[0]; first.Writer != 1 || first.Position != 3 {
				t.Errorf("first result is %+v", first)
			}
			if !maps.Equal(next, c.next) {
				t.Errorf("next vector is %v, want %v", next, c.next)
			}
		})
	}
}
