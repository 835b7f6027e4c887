package simulator

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// link is one direction between two nodes, or a node and a server, by their names.
type link struct{ from, to string }

// SetLinkBlocked blocks or heals the link between two nodes, or a node and a server, both
// ways.
func (w *World) SetLinkBlocked(one, other string, blocked bool) {
	w.SetOneWayBlocked(one, other, blocked)
	w.SetOneWayBlocked(other, one, blocked)
}

// SetOneWayBlocked blocks or heals what goes one way.
func (w *World) SetOneWayBlocked(from, to string, blocked bool) {
	if w.isBlocked(from, to) == blocked {
		return
	}
	w.blockedLinks[link{from, to}] = blocked
	for _, name := range []string{from, to} {
		n := w.Nodes[name]
		if n == nil {
			continue
		}
		n.lastFaultAt = w.Now
		if blocked {
			n.blockedLinkCount++
		} else {
			n.blockedLinkCount--
		}
	}
}

func (w *World) isBlocked(from, to string) bool { return w.blockedLinks[link{from, to}] }

// SetIsolated blocks or heals all links of a node.
func (w *World) SetIsolated(name string, blocked bool) {
	for _, other := range w.nodeNames {
		if other != name {
			w.SetLinkBlocked(name, other, blocked)
		}
	}
	for _, s := range w.Servers {
		w.SetLinkBlocked(name, s.Name, blocked)
	}
}

// SetZonesPartitioned blocks or heals every link between the zones named and the others.
func (w *World) SetZonesPartitioned(zones map[string]bool, blocked bool) {
	for _, one := range w.nodeNames {
		for _, other := range w.nodeNames {
			if zones[w.Nodes[one].Zone] && !zones[w.Nodes[other].Zone] {
				w.SetLinkBlocked(one, other, blocked)
			}
		}
		for _, s := range w.Servers {
			if zones[w.Nodes[one].Zone] != zones[s.Zone] {
				w.SetLinkBlocked(one, s.Name, blocked)
			}
		}
	}
	w.Tracef("%v partitioned from the others: %v", sorted(zones), blocked)
}

// delivery is the fate of one message.
type delivery struct {
	drop, duplicate bool
	delay           clock.Micros // beyond the latency of the link
}

// transmit sends a message from one node to another under the conditions of the run.
func (w *World) transmit(from, to *Node, body any, deliver func()) {
	w.Messages++
	if w.OnSend != nil && to != nil {
		w.OnSend(from, to, body)
	}
	if to == nil || w.isBlocked(from.Name, to.Name) {
		return
	}
	fate := w.drawDelivery(from, to, body)
	if fate.drop {
		return
	}
	arrive := func() {
		if !w.isBlocked(from.Name, to.Name) {
			to.runOrDefer(deliver)
		}
	}
	w.After(w.randomBetween(150, 900)+fate.delay, arrive)
	// A request is a call on a connection: it may be lost or late, never doubled.
	if fate.duplicate && body != nil && !isRequest(body) {
		w.After(w.randomBetween(150, 5000)+fate.delay, arrive)
	}
}

// drawDelivery draws the fate of a message from the conditions, and adds the fault that a
// test injects.
func (w *World) drawDelivery(from, to *Node, body any) delivery {
	var fate delivery
	fate.drop = w.Random.Float64() < w.Conditions.DropRate
	fate.duplicate = w.Random.Float64() < w.Conditions.DuplicateRate
	if w.Random.Float64() < w.Conditions.DelayRate {
		fate.delay = w.randomBetween(0, w.Conditions.MaxDelay)
	}
	if w.DeliveryFault != nil {
		drop, duplicate, delay := w.DeliveryFault(from.Name, to.Name, body)
		fate.drop = fate.drop || drop
		fate.duplicate = fate.duplicate || duplicate
		fate.delay += delay
	}
	return fate
}

func isRequest(body any) bool {
	switch body.(type) {
	case batchstore.SubmitRequest, batchstore.EndRequest, batchstore.BatchStatusRequest, batchstore.ReadRequest, batchstore.ClaimRequest, batchstore.CompleteClaimRequest, controlplane.PutConfigurationRequest, controlplane.PatchConfigurationRequest, controlplane.RetireRequest, quota.LeaseRequest, quota.UsageRequest:
		return true
	}
	return false
}

// Call calls a node's machine over the network. The callback runs once: with the response, or
// with errs.OutcomeUnknown when the timeout passed.
func (w *World) Call(from *Node, peer string, body any, timeout clock.Micros, callback func(any, error)) {
	to := w.nodeByPeer[peer]
	finished := false
	finish := func(response any, err error) {
		if !finished {
			finished = true
			callback(response, err)
		}
	}
	w.After(timeout, func() {
		finish(nil, errs.New(errs.OutcomeUnknown, "send it again with the same key", "no response in time"))
	})
	if to == nil {
		return
	}
	w.transmit(from, to, body, func() {
		if to.machine == nil {
			return
		}
		to.lastCall++
		to.calls[to.lastCall] = func(reply machine.Reply) {
			w.transmit(to, from, reply.Body, func() { finish(reply.Body, reply.Err) })
		}
		to.execute(to.machine.Call(to.lastCall, body, w.Now))
	})
}
