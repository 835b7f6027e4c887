package simulator

import (
	"fmt"
	"strings"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/membership"
)

// Finish is the day's end: everything healed, service of every kind is back, and
// every acknowledgement, result and configuration is read back.
func (v *Workload) Finish(timeout clock.Micros) {
	w := v.world
	healedAt := w.Now
	v.checkServiceRestored(healedAt)
	if !w.RunUntil(max(0, healedAt+12*clock.Second-w.Now), w.FullyReplicated) {
		v.reportViolation(serviceRestored, "the fleet has not settled 12 s after the last fault: %s", w.Describe())
		return
	}
	v.Calling = false
	if !w.RunUntil(timeout, func() bool { return v.PendingCalls == 0 }) {
		v.reportViolation(serviceRestored, "%d callers still wait at the day's end", v.PendingCalls)
	}
	missing := func() string {
		for _, b := range v.Batches {
			if b.AcceptedAt == 0 || b.EndedAt > 0 || b.Forwarded {
				continue // no feed has those that are passed on: their lists are read
			}
			for i := 0; i < b.ItemCount; i++ {
				if v.feedItemCounts[fmt.Sprintf("%s/%d", b.ID, i)] == 0 {
					return fmt.Sprintf("%s/%d", b.ID, i)
				}
			}
		}
		return ""
	}
	for v.feedProgresses(timeout, func() bool { return missing() == "" }) {
	}
	if item := missing(); item != "" {
		v.reportViolation(batchKept, "an accepted bundle's result was never read in the feed: %s", item)
	}
	v.Reading = false
	v.checkBatches()
	w.RunFor(4 * clock.Second)
	v.checkConfigurations()
	v.CheckHistories()
}

// feedProgresses lets a feed's reader go on for a while: false once it has read all, or
// when it has had no row in that time. The reader takes some hundred rows a second,
// and a crowd may have left more than it reads in one such while.
func (v *Workload) feedProgresses(timeout clock.Micros, allRead func() bool) bool {
	before := v.FeedResults
	return !v.world.RunUntil(timeout, allRead) && v.FeedResults > before
}

// checkBatches judges every batch at the day's end.
func (v *Workload) checkBatches() {
	for _, b := range v.Batches {
		if b.AcceptedAt == 0 {
			v.countCheck(rejectedNeverRuns)
			if !b.OutcomeUnknown && b.StartCount > 0 {
				v.reportViolation(rejectedNeverRuns, "bundle %s was refused at every try and %d of its items started", b.ID, b.StartCount)
			}
			continue
		}
		if b.EndedAt == 0 {
			v.readWholeBatch(b)
		}
	}
}

// checkServiceRestored asks for every kind of service, at every edge and for every slot,
// until each is given: it has to be within about 12 s of the last fault.
//
//revive:disable-next-line:cyclomatic,function-length still to be split (issue 18)
func (v *Workload) checkServiceRestored(since clock.Micros) {
	w := v.world
	want := map[string]func(n *Node, done func()){}
	for _, name := range w.Names(membership.Edge) {
		for _, route := range []string{"once", "flow", "long"} {
			for key, tenant := range tenantByKey {
				want[name+" "+route+" for "+key] = func(n *Node, done func()) {
					v.lastNumber++
					req := &Request{Tenant: tenant, Route: route, Kind: routeKinds[route], Input: fmt.Sprintf("back-%d", v.lastNumber)}
					v.Requests, v.requestByInput[req.Input] = append(v.Requests, req), req
					v.SendLive(n, req, func() {
						if req.Outcome == outcomeOK {
							done()
						}
					})
				}
			}
		}
		for _, route := range forwardedRoutes {
			if !w.Forwarding {
				break
			}
			want[name+" "+route+" passed on"] = func(n *Node, done func()) {
				v.lastNumber++
				req := v.newForwardedRequest(route, fmt.Sprintf("back-%d", v.lastNumber))
				v.SendForwarded(n, req, func() {
					if req.Outcome == outcomeOK {
						done()
					}
				})
			}
		}
		want[name+" feed"] = func(n *Node, done func()) {
			v.callEdge(n, requests.PageRequest{APIKey: callerKey, Read: reader.Request{ID: "back", Limit: 1}}, func(_ any, err error) {
				if err == nil {
					done()
				}
			})
		}
		want[name+" list"] = func(n *Node, done func()) {
			for _, b := range v.Batches {
				if b.AcceptedAt > 0 {
					v.callEdge(n, b.pageRequest(reader.Request{ID: "back", Limit: 1}), func(_ any, err error) {
						if err == nil {
							done()
						}
					})
					return
				}
			}
			done()
		}
	}
	for shardNumber := 0; shardNumber < w.shardCount(); shardNumber++ {
		key := ""
		for i := 0; key == ""; i++ {
			name := fmt.Sprintf("back-%d-%d", shardNumber, i)
			if shard.ShardOf(shard.BatchID(defaultTenant, name), w.shardCount()) == shardNumber {
				key = name
			}
		}
		want[fmt.Sprintf("bundles of slot %d", shardNumber)] = func(_ *Node, done func()) {
			if b := v.batchByKey[key]; b == nil {
				v.SubmitBatchWithKey(key, 1, 500)
			} else if b.AcceptedAt > 0 {
				done()
			}
		}
	}
	want["plans"] = func(_ *Node, done func()) {
		if v.LastServed["plan"] > since {
			done()
		} else {
			v.PutConfiguration(false)
		}
	}
	names := sorted(want)
	restoredAt := map[string]clock.Micros{}
	busy := map[string]int{}
	w.RunUntil(12*clock.Second, func() bool {
		for _, name := range names {
			if restoredAt[name] > 0 || busy[name] > 3 {
				continue
			}
			nodeName, _, _ := strings.Cut(name, " ")
			n := w.Nodes[nodeName]
			busy[name]++
			want[name](n, func() {
				if restoredAt[name] == 0 {
					restoredAt[name] = w.Now
				}
			})
			w.After(500*clock.Millisecond, func() { busy[name]-- })
		}
		return len(restoredAt) == len(names)
	})
	for _, name := range names {
		v.countCheck(serviceRestored)
		if restoredAt[name] == 0 {
			v.reportViolation(serviceRestored, "%s is not back 12 s after the last fault: %s", name, w.Describe())
		} else if duration := restoredAt[name] - since; duration > v.SlowestRecovery {
			v.SlowestRecovery, v.SlowestService = duration, name
		}
	}
}

// checkStillServed judges that live orders went on, some 6 s into the loss of all cores:
// it is one failure, so the stores have to have been well for a while before it.
func (v *Workload) checkStillServed(reason string, since clock.Micros) {
	for _, name := range v.world.Names(membership.Store) {
		if !v.world.Nodes[name].healthySince(since - 15*clock.Second) {
			return
		}
	}
	for _, name := range v.world.Names(membership.Edge) {
		n := v.world.Nodes[name]
		if !n.healthySince(since - 5*clock.Second) {
			continue
		}
		v.countCheck(serviceRestored)
		if max(v.LastServed[name+" once"], v.LastServed[name+" flow"], v.LastServed[name+" long"]) < v.world.Now-3*clock.Second {
			outcomes := map[string]int{}
			for _, req := range v.Requests {
				if req.Edge == name && req.AnsweredAt > since {
					outcomes[req.Route+" "+req.Outcome+" "+string(req.Reason)]++
				}
			}
			v.reportViolation(serviceRestored, "%s, %s serves no live order; its callers were told %v", reason, name, outcomes)
		}
	}
}
