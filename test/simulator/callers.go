package simulator

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/membership"
)

// Start puts a configuration and the platform's endpoint list, and starts callers that go on
// until Calling is false.
func (v *Workload) Start() {
	w := v.world
	v.FollowFeed()
	v.PutConfiguration(false)
	w.RunUntil(5*clock.Second, func() bool { return v.LastServed[configurationsServed] > 0 })
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

// repeatAtEdges is one caller that sends one request after the other, each to a live edge at
// random, until Calling is false. send has to call next when its request has ended.
func (v *Workload) repeatAtEdges(send func(n *Node, number int, next func())) {
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
		send(n, number, func() { w.After(w.randomBetween(20, 200)*clock.Millisecond, next) })
	}
	next()
}

// disconnectSometimes has one caller in twelve close its connection early.
func (v *Workload) disconnectSometimes(req *Request) {
	w := v.world
	if w.Random.Intn(12) > 0 {
		return
	}
	w.After(w.randomBetween(0, 60)*clock.Millisecond, func() {
		if req.disconnect != nil {
			req.disconnect()
		}
	})
}

// RunLiveCaller is one caller of live routes that goes on until Calling is false.
func (v *Workload) RunLiveCaller(name string, tenant string) {
	routes := []string{"once", "once", "flow", "long", "extra"}
	v.repeatAtEdges(func(n *Node, number int, next func()) {
		req := &Request{Tenant: tenant, Route: routes[v.world.Random.Intn(len(routes))]}
		req.Kind = routeKinds[req.Route]
		req.Input = fmt.Sprintf("%s/%d", name, number)
		if req.Kind == config.OneShot && v.world.Random.Intn(3) == 0 {
			req.Key = "k-" + req.Input
		}
		v.addRequest(req)
		v.SendLive(n, req, func() {
			if req.Key != "" && (req.Outcome == outcomeUnknown || v.world.Random.Intn(2) == 0) {
				v.resend(req, 2)
			}
			next()
		})
		v.disconnectSometimes(req)
	})
}

// RunForwardingCaller is one caller of forwarding routes that goes on until Calling is false.
func (v *Workload) RunForwardingCaller(name string) {
	v.repeatAtEdges(func(n *Node, number int, next func()) {
		route := forwardedRoutes[v.world.Random.Intn(len(forwardedRoutes))]
		req := v.newForwardedRequest(route, fmt.Sprintf("%s/%d", name, number))
		v.SendForwarded(n, req, next)
		v.disconnectSometimes(req)
	})
}

// runBatchCallers has callers use the fleet until Calling is false.
func (v *Workload) runBatchCallers() {
	w := v.world
	var callers func()
	callers = func() {
		if !v.Calling {
			return
		}
		switch w.Random.Intn(8) {
		case 0:
			v.PutConfiguration(w.Random.Intn(2) == 0)
		case 1:
			v.ContendForKey()
		case 2:
			v.ReadBatchStatus()
			v.SubmitBatch(1+w.Random.Intn(10), 1)
		case 3:
			v.endRandomBatch()
		default:
			v.SubmitBatch(1+w.Random.Intn(20), 200)
		}
		w.After(w.randomBetween(50, 400)*clock.Millisecond, callers)
	}
	callers()
}

// endRandomBatch ends, now and then, one of the open batches.
func (v *Workload) endRandomBatch() {
	var open []*Batch
	for _, b := range v.Batches {
		if b.AcceptedAt > 0 && b.EndedAt == 0 {
			open = append(open, b)
		}
	}
	if len(open) > 0 && v.world.Random.Intn(3) == 0 {
		v.EndBatch(open[v.world.Random.Intn(len(open))])
	}
}

// runForwardedBatchCallers has callers submit batches of requests until Calling is false.
func (v *Workload) runForwardedBatchCallers() {
	w := v.world
	var callers func()
	callers = func() {
		if !v.Calling {
			return
		}
		v.SubmitForwardedBatch(1+w.Random.Intn(8), 200)
		w.After(w.randomBetween(300, 1500)*clock.Millisecond, callers)
	}
	callers()
}

// SubmitBurst submits many batches at once, at every edge.
func (v *Workload) SubmitBurst(count, items int) {
	for range count {
		v.world.After(v.world.randomBetween(0, 100*clock.Millisecond), func() { v.SubmitBatch(items, 3) })
	}
}

// exerciseAllCalls uses every kind of call once, early in the run.
func (v *Workload) exerciseAllCalls() {
	w := v.world
	b := v.SubmitBatch(10, 50)
	w.RunFor(200 * clock.Millisecond)
	v.ReadBatchStatus()
	v.EndBatch(b)
	id := w.randomNode(membership.Store).ID
	v.RetireStore(id, false)
	w.RunFor(2 * clock.Second)
	v.RetireStore(id, true)
	if w.Outside != nil { // the recorded decisions of runs without acts have other puts
		v.putTwoOnABase()
	}
}

// putTwoOnABase puts two configurations on a base; one of them is a patch.
func (v *Workload) putTwoOnABase() {
	for range 2 {
		v.PutConfiguration(true)
		v.world.RunFor(clock.Second)
	}
}
