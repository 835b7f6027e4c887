package simulator

import (
	"fmt"
	"strconv"
	"strings"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/test/modelcontent"
)

// This file is batches of requests that are forwarded unchanged (DESIGN §12.5): how they are
// submitted and read, and how a store forwards an item.

// itemIdleTimeout is the maximum time that a store waits for an item's next event. The
// daemon's own bound is longer; the end of the run would have to wait for it.
const itemIdleTimeout = 6 * clock.Second

// forwardItem forwards an item to its server and collects the events of its answer, as the
// daemon's shell does (internal/daemon/effects).
func (n *Node) forwardItem(item execution.Attempt) {
	w := n.world
	w.Workload.checkTenantOfItem(item.ForwardedItem)
	w.Workload.checkRouteOfItem(item)
	result := execution.AttemptResult{AttemptID: item.ID, Outcome: modelclient.Interrupted, LastEventID: item.ForwardedItem.LastEventID}
	request := modelclient.Request{Address: item.Request.Address, RequestID: item.Request.RequestID, Input: string(item.ForwardedItem.Request.Body), Priority: item.Request.Priority, IdleTimeout: itemIdleTimeout}
	report := func() {
		delete(n.serverCalls, item.ID)
		n.execute(n.machine.Call(0, result, w.Now))
	}
	var call *serverCall
	call = w.forward(n, request, item.ForwardedItem.LastEventID, func(id int, text string) {
		if id != result.LastEventID+1 {
			call.cancel()
			result.Reason = fmt.Sprintf("event %d follows event %d", id, result.LastEventID)
			report()
			return
		}
		if len(result.Events) == 0 {
			n.execute(n.machine.Call(0, execution.AttemptStarted{AttemptID: item.ID}, w.Now))
		}
		result.LastEventID = id
		result.Events = append(result.Events, text)
	}, func(outcome modelclient.Outcome, reason string) {
		result.Outcome, result.Reason = outcome, reason
		if outcome == modelclient.Rejected {
			result.Outcome, result.ServerFailed = modelclient.Interrupted, true
		}
		report()
	})
	n.serverCalls[item.ID] = call
}

// expectedOutput is what the result of an item holds when it is complete.
func (b *Batch) expectedOutput(item int) string {
	input := itemInput(b.Key, item)
	if b.Forwarded {
		return strings.Join(modelcontent.Chunks(input, chunksPerAnswer), "\n")
	}
	return modelcontent.Answer(input, chunksPerAnswer)
}

// forwardedBatchTimeout is how long the caller of a forwarded batch waits for its answer.
const forwardedBatchTimeout = 3 * clock.Second

// submitRequest is the call that submits the batch.
func (b *Batch) submitRequest(now clock.Micros) any {
	var items []shard.Item
	for i := 0; i < b.ItemCount; i++ {
		item := shard.Item{ID: strconv.Itoa(i)}
		if input := itemInput(b.Key, i); b.Forwarded {
			item.Request = &shard.Request{Target: "/v1/item", Host: hostOf(b.route()), Body: []byte(input), Tokens: b.tokens()}
		} else {
			item.Input = input
		}
		items = append(items, item)
	}
	if b.Forwarded {
		return requests.SubmitForwardedBatchRequest{APIKey: b.apiKey(), Route: routeIDOf(b.route()), ID: b.ID, Items: items, Deadline: now + forwardedBatchTimeout}
	}
	return requests.SubmitBatchRequest{APIKey: callerKey, Route: "r", IdempotencyKey: b.Key, Items: items}
}

// checkRouteOfItem checks that an attempt goes by the route that the item's batch was accepted on, whatever that is
// called by now.
func (v *Workload) checkRouteOfItem(attempt execution.Attempt) {
	v.countCheck(routeKept)
	b := v.batchByID[attempt.ForwardedItem.Batch]
	if b == nil {
		v.reportViolation(routeKept, "an item of the unknown batch %s is forwarded", attempt.ForwardedItem.Batch)
		return
	}
	if want := forwardedModel(b.route()); attempt.Request.Model != want {
		v.reportViolation(routeKept, "an item of batch %s goes by the route of %q, not of %q", b.ID, attempt.Request.Model, want)
	}
}

// route is the route of a forwarded batch.
func (b *Batch) route() string {
	if b.Limited {
		return limitedRoute
	}
	return batchRoute
}

// tokens is what each item of a forwarded batch counts for.
func (b *Batch) tokens() int64 {
	if b.Limited {
		return tokensPerItem
	}
	return 1
}

// statusRequest is the call that reads the status of the batch, or cancels it.
func (b *Batch) statusRequest(end bool, now clock.Micros) any {
	if b.Forwarded {
		return requests.ForwardedBatchStatusRequest{APIKey: b.apiKey(), Batch: b.ID, Cancel: end, Deadline: now + forwardedBatchTimeout}
	}
	return requests.BatchStatusRequest{APIKey: callerKey, Batch: b.ID, Cancel: end}
}

// pageRequest is the call that reads a page of its results.
func (b *Batch) pageRequest(read reader.Request) any {
	read.BatchID = b.ID
	if b.Forwarded {
		return requests.ForwardedPageRequest{APIKey: b.apiKey(), Read: read}
	}
	return requests.PageRequest{APIKey: callerKey, Read: read}
}

// SubmitForwardedBatch submits a batch of requests to be forwarded.
func (v *Workload) SubmitForwardedBatch(items, attempts int) *Batch {
	v.lastNumber++
	key := fmt.Sprintf("bulk-%d", v.lastNumber)
	b := &Batch{ID: key, Key: key, ItemCount: items, Forwarded: true, Tenant: v.tenantOf(v.lastNumber)}
	v.ForwardedRequests += items
	return v.submit(b, attempts)
}
