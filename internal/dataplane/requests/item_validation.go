package requests

import (
	"fmt"
	"strconv"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/errs"
)

// validateItems checks the items of a batch and sets missing IDs to the item's index. A single
// invalid item rejects the complete batch; the error (errs.BadInput) lists all invalid items. Items
// have a request on forwarding routes and an input on other routes. limit is the maximum number of
// items for the route; 0 means unlimited.
func validateItems(items []shard.Item, limit int, forward bool) error {
	if len(items) == 0 {
		return errs.New(errs.BadInput, "give the batch at least one item", "the batch is empty")
	}
	if limit > 0 && len(items) > limit {
		return errs.New(errs.TooLarge, "split it into several batches", "the batch has %d items; the route allows at most %d", len(items), limit)
	}
	var problems []string
	seen := map[string]int{}
	for i, item := range items {
		if item.ID == "" {
			items[i].ID = strconv.Itoa(i)
		}
		if first, twice := seen[items[i].ID]; twice {
			problems = append(problems, fmt.Sprintf("items[%d].id: %q is also the id of items[%d]; use a unique id for each item", i, items[i].ID, first))
		}
		seen[items[i].ID] = i
		problems = append(problems, validateItem(i, item, forward)...)
	}
	if len(problems) > 0 {
		return &errs.Error{
			Kind:    errs.BadInput,
			Message: "the batch has invalid items; none of its items will run",
			Remedy:  "correct the listed items and send the batch again",
			Faults:  problems,
		}
	}
	return nil
}

// maxItemIDBytes is the maximum length of an item's ID, in bytes.
const maxItemIDBytes = 256

// validateItem returns the problems of a single item, apart from duplicate IDs.
func validateItem(i int, item shard.Item, forward bool) []string {
	var problems []string
	switch {
	case forward && (item.Request == nil || item.Input != ""):
		problems = append(problems, fmt.Sprintf("items[%d].request: is missing, or the item also has an input; give the item a request only", i))
	case forward && item.Request.Tokens < 0:
		problems = append(problems, fmt.Sprintf("items[%d].request.tokens: is %d; must be 0 or more", i, item.Request.Tokens))
	case !forward && item.Request != nil:
		problems = append(problems, fmt.Sprintf("items[%d].request: this route does not forward requests; give the item an input instead", i))
	case !forward && item.Input == "":
		problems = append(problems, fmt.Sprintf("items[%d].input: is empty; give the item an input", i))
	}
	if len(item.ID) > maxItemIDBytes {
		problems = append(problems, fmt.Sprintf("items[%d].id: is longer than %d bytes; shorten it", i, maxItemIDBytes))
	}
	return problems
}
