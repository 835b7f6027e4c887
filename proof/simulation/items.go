package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"tuliprudder/kernel/clock"
	"tuliprudder/ledger/shard"
	"tuliprudder/path/execution"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/reader"
	"tuliprudder/path/requests"
	"tuliprudder/proof/modelcontent"
)

// This file is bundles of requests that are passed on unchanged (DESIGN §12.5):
// how they are handed in and read, and how a store passes an item on.

// itemSilence is the longest that a store waits for an item's next event. The
// daemon's own bound is longer; the day's end would have to wait for it.
const itemSilence = 6 * clock.Second

// passItem passes an item on to its server and gathers the events of its answer,
// as the daemon's shell does (daemon/effects).
func (n *Node) passItem(o execution.Run) {
	w := n.world
	ran := execution.Ran{Token: o.Token, Outcome: modelclient.Cut, LastEvent: o.Forward.Resume}
	request := modelclient.Request{Address: o.Request.Address, Order: o.Request.Order, Input: string(o.Forward.Request.Body), Priority: o.Request.Priority, Silence: itemSilence}
	tell := func() {
		delete(n.runs, o.Token)
		n.do(n.machine.Call(0, ran, w.Now))
	}
	var one *serving
	one = w.passOn(n, request, o.Forward.Resume, func(id int, text string) {
		if id != ran.LastEvent+1 {
			one.cancel()
			ran.Why = fmt.Sprintf("event %d follows event %d", id, ran.LastEvent)
			tell()
			return
		}
		if len(ran.Events) == 0 {
			n.do(n.machine.Call(0, execution.Began{Token: o.Token}, w.Now))
		}
		ran.LastEvent = id
		ran.Events = append(ran.Events, text)
	}, func(outcome modelclient.Outcome, why string) {
		ran.Outcome, ran.Why = outcome, why
		if outcome == modelclient.Rejected {
			ran.Outcome, ran.Failed = modelclient.Cut, true
		}
		tell()
	})
	n.runs[o.Token] = one
}

// itemOutput is what the row of an item holds when it is whole.
func (h *Handed) itemOutput(item int) string {
	input := itemInput(h.Key, item)
	if h.Forwarded {
		return strings.Join(modelcontent.Pieces(input, pieces), "\n")
	}
	return modelcontent.Answer(input, pieces)
}

// handIn is the call that hands the bundle in.
func (h *Handed) handIn() any {
	var list []shard.Item
	for i := 0; i < h.Items; i++ {
		item := shard.Item{ID: strconv.Itoa(i)}
		if input := itemInput(h.Key, i); h.Forwarded {
			item.Request = &shard.Request{Target: "/v1/item", Host: hostOf(bulkRoute), Body: []byte(input), Tokens: 1}
		} else {
			item.Input = input
		}
		list = append(list, item)
	}
	if h.Forwarded {
		return requests.ForwardBundle{Route: bulkRoute, ID: h.ID, Items: list}
	}
	return requests.SubmitBundle{Caller: callerKey, Route: "r", Key: h.Key, Items: list}
}

// look is the call that asks how the bundle stands, or ends it.
func (h *Handed) look(end bool) any {
	if h.Forwarded {
		return requests.BundleStatusAny{Bundle: h.ID, End: end}
	}
	return requests.BundleStatus{Caller: callerKey, Bundle: h.ID, End: end}
}

// page is the call that reads its list.
func (h *Handed) page(read reader.Read) any {
	read.Bundle = h.ID
	if h.Forwarded {
		return requests.PageAny{Read: read}
	}
	return requests.Page{Caller: callerKey, Read: read}
}

// HandRequests hands in a bundle of requests to be passed on.
func (v *Watch) HandRequests(items, tries int) *Handed {
	v.number++
	key := fmt.Sprintf("bulk-%d", v.number)
	h := &Handed{ID: key, Key: key, Items: items, Forwarded: true}
	v.Passed += items
	return v.hand(h, tries)
}
