package requests

import (
	"fmt"
	"strconv"

	"tuliprudder/kernel/errs"
	"tuliprudder/ledger/shard"
)

// checkItems names every bad item; one bad item turns the whole bundle away. An
// item has an input, or where requests are passed on a request; most is 0 where
// there is no bound.
func checkItems(items []shard.Item, most int, forward bool) error {
	if len(items) == 0 {
		return errs.New(errs.BadInput, "give the bundle at least one item", "the bundle is empty")
	}
	if most > 0 && len(items) > most {
		return errs.New(errs.TooLarge, "send several bundles", "the bundle has %d items; the route takes %d", len(items), most)
	}
	var faults []string
	seen := map[string]int{}
	for i, item := range items {
		if item.ID == "" {
			items[i].ID = strconv.Itoa(i)
		}
		if first, twice := seen[items[i].ID]; twice {
			faults = append(faults, fmt.Sprintf("items[%d].id: %q is that of items[%d] as well; give each its own", i, items[i].ID, first))
		}
		seen[items[i].ID] = i
		faults = append(faults, itemFaults(i, item, forward)...)
	}
	if len(faults) > 0 {
		return &errs.Error{Kind: errs.BadInput, Message: "the bundle has bad items; none of it will run", Remedy: "correct each named item and send the bundle again", Faults: faults}
	}
	return nil
}

// maxItemID is the longest id of an item, in bytes.
const maxItemID = 256

// itemFaults names what is wrong with one item by itself.
func itemFaults(i int, item shard.Item, forward bool) []string {
	var faults []string
	switch {
	case forward && (item.Request == nil || item.Input != ""):
		faults = append(faults, fmt.Sprintf("items[%d].request: is missing, or has an input beside it; give it a request alone", i))
	case forward && item.Request.Tokens < 0:
		faults = append(faults, fmt.Sprintf("items[%d].request.tokens: is %d; give it 0 or more", i, item.Request.Tokens))
	case !forward && item.Request != nil:
		faults = append(faults, fmt.Sprintf("items[%d].request: this route passes no requests on; give it an input instead", i))
	case !forward && item.Input == "":
		faults = append(faults, fmt.Sprintf("items[%d].input: is empty; give it an input", i))
	}
	if len(item.ID) > maxItemID {
		faults = append(faults, fmt.Sprintf("items[%d].id: is longer than %d bytes; shorten it", i, maxItemID))
	}
	return faults
}
