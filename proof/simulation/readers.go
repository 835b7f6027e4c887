package simulation

import (
	"fmt"

	"tuliprudder/kernel/clock"
	"tuliprudder/ledger/shard"
	"tuliprudder/path/reader"
	"tuliprudder/path/requests"
)

// quiet tells whether nothing was done to any daemon since a time.
func (v *Watch) quiet(since clock.Micros) bool {
	for _, name := range v.w.names {
		if !v.w.Nodes[name].well(since) {
			return false
		}
	}
	return true
}

// wait follows one bundle's list at edges that change only when one gives no
// answer, as a waiting reader does, and times each row.
func (v *Watch) wait(h *Handed, token string) {
	n := v.edgeNode()
	if !v.Reading || h.Ended > 0 || h.lists >= h.Items {
		return
	}
	if n == nil {
		v.w.After(100*clock.Millisecond, func() { v.wait(h, token) })
		return
	}
	v.number++
	read := reader.Read{Name: fmt.Sprintf("r-%d", v.number), Token: token, Most: 100, Wait: 2 * clock.Second}
	v.here(n, h.page(read), func(answer any, err error) {
		page, _ := answer.(reader.Page)
		if err != nil {
			v.w.After(50*clock.Millisecond, func() { v.wait(h, token) })
			return
		}
		for _, row := range page.Rows {
			h.lists++
			v.row(row, "list")
			done := h.done[row.Item]
			if done == 0 {
				continue
			}
			// Nobody can wait for a list before its receipt.
			lag := v.w.Now - max(done, h.Accepted)
			v.saw(soon)
			switch {
			case v.quiet(max(done, h.Accepted) - 15*clock.Second):
				v.SlowestRow = max(v.SlowestRow, lag)
				if lag > clock.Second {
					v.breach(soon, "%s/%d was whole %d us before a waiting reader at %s could have it", h.ID, row.Item, lag, n.Name)
				}
			case lag > 13*clock.Second && v.quiet(max(done, h.Accepted)+clock.Second):
				v.breach(soon, "%s/%d was whole %d us before a waiting reader at %s could have it", h.ID, row.Item, lag, n.Name)
			}
		}
		v.wait(h, page.Next)
	})
}

func (v *Watch) row(row shard.Row, where string) {
	key := fmt.Sprintf("%d@%d", row.Writer, row.Position)
	what := fmt.Sprintf("%s/%d", row.Bundle, row.Item)
	v.saw(exact)
	h := v.byID[row.Bundle]
	if h != nil && h.Forwarded && row.Status == shard.StatusFailed {
		v.saw(kept)
		if h.failures[row.Item] < forwardTries {
			v.breach(kept, "%s: %s is listed as failed (%s) though servers failed it %d times only", where, what, row.Output, h.failures[row.Item])
		}
	}
	if h != nil && row.Status == shard.StatusOK {
		v.saw(mixed)
		if want := h.itemOutput(row.Item); row.Output != want {
			v.breach(mixed, "%s: %s holds %q, not its answer %q", where, what, row.Output, want)
		}
	}
	if known, ok := v.holds[key]; ok && known != what {
		v.breach(exact, "%s: position %s held %s and now holds %s", where, key, known, what)
	}
	v.holds[key] = what
}

// Follow reads the feed over changing edges for as long as Reading is true.
func (v *Watch) Follow() {
	v.Reading = true
	var turn func()
	turn = func() {
		n := v.edgeNode()
		if !v.Reading {
			return
		}
		if n == nil {
			v.w.After(100*clock.Millisecond, turn)
			return
		}
		v.number++
		v.here(n, requests.Page{Caller: callerKey, Read: reader.Read{Name: fmt.Sprintf("f-%d", v.number), Token: v.token, Most: 1 + v.w.Chance.Intn(20)}}, func(answer any, err error) {
			if page, ok := answer.(reader.Page); ok && err == nil {
				v.token = page.Next
				v.Served[n.Name+" feed"] = v.w.Now
				for _, row := range page.Rows {
					v.FeedRows++
					v.row(row, "feed")
					v.saw(goesOn)
					item := fmt.Sprintf("%s/%d", row.Bundle, row.Item)
					if v.feedSeen[item]++; v.feedSeen[item] > 1 {
						v.breach(goesOn, "feed: %s seen twice", item)
					}
					if row.Position <= v.feedLast[row.Bundle] {
						v.breach(goesOn, "feed: bundle %s goes back from position %d to %d", row.Bundle, v.feedLast[row.Bundle], row.Position)
					}
					v.feedLast[row.Bundle] = row.Position
				}
			}
			v.w.After(v.w.between(20, 150)*clock.Millisecond, turn)
		})
	}
	turn()
}

// readAll reads a bundle's list page by page from the start.
func (v *Watch) readAll(h *Handed) {
	w := v.w
	token, count, done, tries := "", 0, false, 0
	seen := map[int]bool{}
	last := int64(0)
	for !done && tries < 200 {
		tries++
		answered := false
		v.here(v.edgeNode(), h.page(reader.Read{Name: "all", Token: token, Most: 1 + w.Chance.Intn(30)}), func(answer any, err error) {
			answered = true
			page, ok := answer.(reader.Page)
			if err != nil || !ok {
				return
			}
			token = page.Next
			for _, row := range page.Rows {
				v.row(row, "list")
				if seen[row.Item] || row.Position <= last {
					v.breach(exact, "list of %s: item %d at position %d after %d", h.ID, row.Item, row.Position, last)
				}
				seen[row.Item], last = true, row.Position
				count++
			}
			done = count >= h.Items && page.State != string(shard.Open)
		})
		w.Until(3*clock.Second, func() bool { return answered })
		if !done {
			w.Run(30 * clock.Millisecond)
		}
	}
	if count != h.Items || !done {
		v.breach(kept, "list of %s: %d of %d results at the day's end", h.ID, count, h.Items)
	}
}
