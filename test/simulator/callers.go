package simulator

import (
	"encoding/json"
	"fmt"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/errs"
	"tuliprudder/test/modelcontent"
)

// Request is one live order as its caller saw it, with the servers' log of it.
type Request struct {
	Input, Kind, Tenant string
	Route               string
	Key                 string
	SentAt, AnsweredAt  clock.Micros
	Outcome             string // ok, refused, unknown; "" while it is open
	Reason              errs.Kind
	Output              string
	Complete            bool // its answer is whole
	Edge                string
	Starts              []modelcontent.Start
	disconnect          func() // the caller goes
	Forwarded           bool   // passed on unchanged
}

// The outcomes.
const (
	outcomeOK       = "ok"
	outcomeRejected = "refused"
	outcomeUnknown  = "unknown"
	outcomeFailed   = "failed" // a server's own failure was passed on
)

// isAtMostOnce tells whether the order may run no more than once. A stream may not either
// where it is passed on: nobody could join its parts.
func (req *Request) isAtMostOnce() bool {
	return req.Kind == config.OneShot || req.Forwarded && req.Kind == config.Stream
}

// callerTimeout is how long a caller waits before it goes.
const callerTimeout = 15 * clock.Second

// tenantByKey are who calls, by the key they carry.
var tenantByKey = map[string]string{"key-gold": "gold", "key-silver": "silver", "key-caller": defaultTenant}

// routeKinds are the live routes by the kind of the route.
var routeKinds = map[string]string{"once": config.OneShot, "flow": config.Stream, "long": config.Resumable, "extra": config.OneShot}

// configurationDocument is a configuration as an operator writes it; its number says how it differs from
// others: the route extra comes and goes, its pool moves, quotas change.
func configurationDocument(number int, forwarding bool) []byte {
	route := func(name, kind, pool string) map[string]any {
		return map[string]any{"name": name, "kind": kind, "classes": map[string]any{"live": "yes"}, "pools": map[string]any{"use": pool}, "model": "m", "prefix": "say " + name + strings.Repeat(" again", 100), "max_tokens": 64, "expiry_us": 4_000_000}
	}
	class := func(name string, priority, quota int) map[string]any {
		return map[string]any{"name": name, "rank": priority, "allowance": quota, "labels": map[string]any{"live": "yes"}}
	}
	routes := []any{route("once", config.OneShot, "all"), route("flow", config.Stream, "all"), route("long", config.Resumable, "all")}
	batches := route("r", config.Batch, "all")
	delete(batches, "expiry_us")
	batches["most_items"] = 1000
	routes = append(routes, batches)
	if number%3 > 0 {
		routes = append(routes, route("extra", config.OneShot, "half"))
	}
	if forwarding {
		for _, name := range forwardedRoutes {
			routes = append(routes, forwardedRouteDocument(name, forwardedKinds[name]))
		}
		routes = append(routes, forwardedRouteDocument(batchRoute, config.Batch))
	}
	data, _ := json.Marshal(map[string]any{
		"classes":   []any{class("gold", 300+number%2, 40), class("silver", 200, 40), class("notes", 100, 300+20*(number%4))},
		"customers": []any{map[string]any{"name": "gold", "key": "key-gold", "class": "gold"}, map[string]any{"name": "silver", "key": "key-silver", "class": "silver"}, map[string]any{"name": defaultTenant, "key": "key-caller", "class": "notes"}},
		"pools": []any{map[string]any{"name": "main", "labels": map[string]any{"use": "all"}, "servers": map[string]any{"fleet": "main"}},
			map[string]any{"name": "half", "labels": map[string]any{"use": "half"}, "servers": map[string]any{"half": fmt.Sprint(number / 3 % 2)}}},
		"routes": routes,
		"judges": map[string]any{"speed": 1 + float64(number)/1000},
	})
	return data
}

// Start is the day's beginning: a configuration, the platform's list, and callers who go on
// until Calling is false.
func (v *Workload) Start() {
	w := v.world
	v.FollowFeed()
	v.PutConfiguration(false)
	w.RunUntil(5*clock.Second, func() bool { return v.LastServed["plan"] > 0 })
	v.PublishServers(v.randomEdge())
	w.RunFor(500 * clock.Millisecond)
	v.Calling = true
	for i, tenant := range []string{"gold", "gold", "silver"} {
		v.RunLiveCaller(fmt.Sprintf("live-%d", i), tenant)
	}
	if w.Forwarding {
		for i := 0; i < 3; i++ {
			v.RunForwardingCaller(fmt.Sprintf("pass-%d", i))
		}
	}
	var count func()
	count = func() {
		v.checkWaiting()
		if v.Calling {
			w.After(50*clock.Millisecond, count)
		}
	}
	count()
}

// SendLive sends one live order to an edge, as the edge's front does: it runs where
// the machine says, and tells how it went. back is told once.
//
//revive:disable-next-line:cyclomatic,function-length still to be split (issue 18)
func (v *Workload) SendLive(n *Node, req *Request, callback func()) {
	w := v.world
	req.Edge, req.SentAt, req.Outcome = n.Name, w.Now, ""
	v.unansweredRequests = append(v.unansweredRequests, req)
	v.lastNumber++
	name := fmt.Sprintf("o-%d", v.lastNumber)
	generation, finished := n.generation, false
	var current *serverCall
	text := ""
	var removeCrashHook func()
	finish := func(outcome string, reason errs.Kind) {
		if finished {
			return
		}
		finished = true
		if removeCrashHook != nil {
			removeCrashHook()
		}
		req.AnsweredAt, req.Outcome, req.Reason = w.Now, outcome, reason
		if req.Key != "" {
			w.Tracef("%s: order %s with its key, as %s, sent %d us ago, is told %s %s", n.Name, req.Input, name, w.Now-req.SentAt, outcome, reason)
		}
		v.checkAnswer(req)
		callback()
	}
	if !n.up {
		w.After(clock.Millisecond, func() { finish(outcomeRejected, "no connection") })
		return
	}
	removeCrashHook = n.onCrash(func() { finish(outcomeUnknown, "the connection broke") })
	callerLeft := false
	var handleReply func(reply any, err error)
	handleReply = func(reply any, err error) {
		if n.generation != generation {
			return
		}
		switch r := reply.(type) {
		case requests.Attempt:
			result := requests.AttemptResult{RequestID: name}
			report := func(outcome modelclient.Outcome, reason string) {
				current = nil
				result.Outcome, result.Reason, result.Output, result.ContextDone = outcome, reason, text, callerLeft || w.Now >= r.Deadline
				n.CallLocal(result, handleReply)
			}
			if callerLeft {
				report(modelclient.NotStarted, "the caller left")
				return
			}
			began := false
			call := w.CallServer(n, r.Request, func(chunk string) {
				if !began {
					began = true
					n.CallLocal(requests.AttemptStarted{RequestID: name}, func(any, error) {})
				}
				text += chunk
				if r.RouteKind != config.OneShot {
					req.Output = text
				}
			}, report)
			current = call
			w.After(max(0, r.Deadline-w.Now), func() {
				if !call.clientDone && n.generation == generation {
					n.runOrDefer(func() { v.abort(call, report) })
				}
			})
		case requests.Response:
			if req.Kind == config.OneShot {
				req.Output = r.Output
			}
			req.Complete = true
			finish(outcomeOK, "")
		default:
			kind := errs.Of(err).Kind
			if kind == errs.OutcomeUnknown || req.Output != "" {
				finish(outcomeUnknown, kind)
			} else {
				finish(outcomeRejected, kind)
			}
		}
	}
	req.disconnect = func() {
		if finished || n.generation != generation {
			return
		}
		callerLeft = true
		n.CallLocal(requests.CallerDisconnected{RequestID: name}, func(any, error) {})
		n.runOrDefer(func() {
			if current != nil && !current.clientDone {
				v.abort(current, current.onDone)
			}
		})
		finish(outcomeUnknown, "the caller left")
	}
	w.After(callerTimeout, func() { req.disconnect() })
	n.CallLocal(requests.LiveRequest{ID: name, APIKey: "key-" + req.Tenant, Route: req.Route, IdempotencyKey: req.Key, Input: req.Input}, handleReply)
}

// abort ends a run from the edge's side: it may have run.
func (v *Workload) abort(call *serverCall, report func(modelclient.Outcome, string)) {
	if call.clientDone {
		return
	}
	call.cancel()
	report(modelclient.Interrupted, "the order's expiry passed, or its caller left")
}

// RunLiveCaller is one caller that goes on until the day ends.
func (v *Workload) RunLiveCaller(name string, tenant string) {
	w := v.world
	number := 0
	var next func()
	next = func() {
		if !v.Calling {
			return
		}
		n := v.randomEdge()
		if n == nil {
			w.After(100*clock.Millisecond, next)
			return
		}
		number++
		routes := []string{"once", "once", "flow", "long", "extra"}
		req := &Request{Tenant: tenant, Route: routes[w.Random.Intn(len(routes))]}
		req.Kind, req.Input = routeKinds[req.Route], fmt.Sprintf("%s/%d", name, number)
		if req.Kind == config.OneShot && w.Random.Intn(3) == 0 {
			req.Key = "k-" + req.Input
		}
		v.Requests, v.requestByInput[req.Input] = append(v.Requests, req), req
		v.SendLive(n, req, func() {
			if req.Key != "" && (req.Outcome == outcomeUnknown || w.Random.Intn(2) == 0) {
				v.resend(req, 2)
			}
			w.After(w.randomBetween(20, 200)*clock.Millisecond, next)
		})
		if w.Random.Intn(12) == 0 {
			w.After(w.randomBetween(0, 60)*clock.Millisecond, func() { req.disconnect() })
		}
	}
	next()
}

// resend sends an order with the same key to another edge: it never runs twice,
// and an answer is the first one's.
func (v *Workload) resend(req *Request, attempts int) {
	n := v.randomEdge()
	if n == nil || attempts == 0 {
		return
	}
	// A new try with the key may run, though the one before was turned away.
	before := req.Outcome
	if req.Outcome == outcomeRejected {
		req.Outcome = ""
	}
	again := &Request{Input: req.Input, Kind: req.Kind, Tenant: req.Tenant, Route: req.Route, Key: req.Key}
	v.SendLive(n, again, func() {
		switch {
		case again.Outcome == outcomeRejected && before == outcomeRejected:
			req.Outcome = outcomeRejected
		case again.Outcome == outcomeOK && req.Outcome == outcomeOK && again.Output != req.Output:
			v.reportViolation(runsAtMostOnce, "key %s: answered %q and %q", req.Key, req.Output, again.Output)
		case again.Outcome == outcomeOK:
			req.Outcome, req.Output, req.Complete = outcomeOK, again.Output, true
			v.checkAnswer(again)
		case again.Outcome == outcomeUnknown || req.Outcome == outcomeUnknown:
			// Whether the key's order ran is not known, whatever the other was told.
			req.Outcome = outcomeUnknown
			v.world.After(v.world.randomBetween(100, 900)*clock.Millisecond, func() { v.resend(req, attempts-1) })
		}
	})
}

// SendBurst lets many callers come at once, each with one order.
func (v *Workload) SendBurst(count int, tenant string) {
	w := v.world
	v.lastNumber++
	burst := v.lastNumber
	for i := 0; i < count; i++ {
		req := &Request{Tenant: tenant, Route: "once", Kind: config.OneShot, Input: fmt.Sprintf("crowd-%d/%d", burst, i)}
		v.Requests, v.requestByInput[req.Input] = append(v.Requests, req), req
		w.After(w.randomBetween(0, 100_000), func() {
			if n := v.randomEdge(); n != nil {
				v.SendLive(n, req, func() {})
			} else {
				req.AnsweredAt, req.Outcome = w.Now, outcomeRejected
			}
		})
	}
}

// SubmitBurst hands many batches in at once, at every edge.
func (v *Workload) SubmitBurst(count, items int) {
	for i := 0; i < count; i++ {
		v.world.After(v.world.randomBetween(0, 100_000), func() { v.SubmitBatch(items, 3) })
	}
}

// requestStarted is a server's word that an order has started there.
func (v *Workload) requestStarted(start modelcontent.Start) {
	v.RequestsStarted++
	at := start.At
	v.checkDraining(start)
	if batch, _, ok := strings.Cut(start.Input, "#"); ok {
		v.itemStarted(batch, start)
		return
	}
	req := v.requestByInput[start.Input]
	if req == nil {
		v.reportViolation(answerIntact, "%s runs an order that nobody sent: %s", start.Server, start.Input)
		return
	}
	req.Starts = append(req.Starts, start)
	v.countCheck(runsAtMostOnce)
	if req.isAtMostOnce() && len(req.Starts) > 1 {
		v.reportViolation(runsAtMostOnce, "%s order %s runs a second time, on %s", req.Kind, req.Input, start.Server)
	}
	if req.Outcome == outcomeRejected {
		v.reportViolation(runsAtMostOnce, "order %s was turned away (%s) %d us ago, and runs on %s", req.Input, req.Reason, at-req.AnsweredAt, start.Server)
	}
	v.checkStartInForce(req, start)
}

// answerCompleted is a server's word that an answer is whole.
func (v *Workload) answerCompleted(input string) {
	if batch, item, ok := strings.Cut(input, "#"); ok {
		v.itemCompleted(batch, item)
	}
}

// checkAnswer judges what a caller was told.
func (v *Workload) checkAnswer(req *Request) {
	want := modelcontent.Answer(req.Input, chunksPerAnswer)
	v.countCheck(streamIntact)
	if !strings.HasPrefix(want, req.Output) {
		v.reportViolation(streamIntact, "%s order %s: pieces dropped, repeated or joined: %q of %q", req.Kind, req.Input, req.Output, want)
	}
	if req.Complete {
		v.countCheck(answerIntact)
		if req.Output != want {
			v.reportViolation(answerIntact, "%s order %s: %q looks whole, and is not %q", req.Kind, req.Input, req.Output, want)
		}
		v.LastServed[req.Edge+" "+req.Route] = v.world.Now
	}
	if req.Outcome == outcomeRejected && len(req.Starts) > 0 && req.Key == "" {
		v.reportViolation(runsAtMostOnce, "order %s was turned away (%s) and ran on %s", req.Input, req.Reason, req.Starts[0].Server)
	}
	v.OutcomeCounts[req.Outcome]++
}
