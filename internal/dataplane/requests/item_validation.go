package requests

import (
	"fmt"
	"strconv"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/errs"
)

// validateItems checks the items of a batch, and names those without an ID by their index. One
// invalid item rejects the complete batch: the error (errs.BadInput) lists each of them. An item
// has a request on forwarding routes, an input on others. limit is how many items the route
// takes; 0 is no limit.
func validateItems(items []shard.Item, limit int, forward bool) error {
	if len(items) == 0 {
		return errs.New(errs.BadInput, "give the batch at least one item", "the batch is empty")
	}
	if limit > 0 && len(items) > limit {
		return errs.New(errs.TooLarge, "send several batches", "the batch has %d items; the route takes %d", len(items), limit)
	}
	var problems []string
	seen := map[string]int{}
	for i, item := range items {
		if item.ID == "" {
			items[i].ID = strconv.Itoa(i)
		}
		if first, twice := seen[items[i].ID]; twice {
			problems = append(problems, fmt.Sprintf("items[%d].id: %q is the id of items[%d] as well; give each its own", i, items[i].ID, first))
		}
		seen[items[i].ID] = i
		problems = append(problems, validateItem(i, item, forward)...)
	}
	if len(problems) > 0 {
		return &errs.Error{
			Kind:    errs.BadInput,
			Message: "the batch has invalid items; none of it will run",
			Remedy:  "correct each named item and send the batch again",
			Faults:  problems,
		}
	}
	return nil
}

// maxItemIDBytes is the longest ID of an item, in bytes.
const maxItemIDBytes = 256

// validateItem lists what is wrong with one item by itself.
func validateItem(i int, item shard.Item, forward bool) []string {
	var problems []string
	switch {
	case forward && (item.Request == nil || item.Input != ""):
		problems = append(problems, fmt.Sprintf("items[%d].request: is missing, or has an input beside it; give it a request alone", i))
	case forward && item.Request.Tokens < 0:
		problems = append(problems, fmt.Sprintf("items[%d].request.tokens: is %d; give it 0 or more", i, item.Request.Tokens))
	case !forward && item.Request != nil:
		problems = append(problems, fmt.Sprintf("items[%d].request: this route forwards no requests; give it an input instead", i))
	case !forward && item.Input == "":
		problems = append(problems, fmt.Sprintf("items[%d].input: is empty; give it an input", i))
	}
	if len(item.ID) > maxItemIDBytes {
		problems = append(problems, fmt.Sprintf("items[%d].id: is longer than %d bytes; shorten it", i, maxItemIDBytes))
	}
	return problems
}
