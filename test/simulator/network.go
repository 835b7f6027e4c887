package simulator

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// SetLinkCut cuts or heals the link between two nodes, or a node and a server, both
// ways; SetOneWayCut cuts what goes from the one to the other.
func (w *World) SetLinkCut(one, other string, cut bool) {
	w.SetOneWayCut(one, other, cut)
	w.SetOneWayCut(other, one, cut)
}

// SetOneWayCut cuts or heals what goes one way.
func (w *World) SetOneWayCut(from, to string, cut bool) {
	if w.cutLinks[[2]string{from, to}] == cut {
		return
	}
	w.cutLinks[[2]string{from, to}] = cut
	for _, name := range []string{from, to} {
		if n := w.Nodes[name]; n != nil {
			n.lastFaultAt = w.Now
			if cut {
				n.cutLinkCount++
			} else {
				n.cutLinkCount--
			}
		}
	}
}

// SetIsolated cuts or heals all links of a node.
func (w *World) SetIsolated(name string, cut bool) {
	for _, other := range w.nodeNames {
		if other != name {
			w.SetLinkCut(name, other, cut)
		}
	}
	for _, s := range w.Servers {
		w.SetLinkCut(name, s.Name, cut)
	}
}

// SetZonesPartitioned cuts or heals every link between the zones named and the rest.
func (w *World) SetZonesPartitioned(zones map[string]bool, cut bool) {
	for _, one := range w.nodeNames {
		for _, other := range w.nodeNames {
			if zones[w.Nodes[one].Zone] && !zones[w.Nodes[other].Zone] {
				w.SetLinkCut(one, other, cut)
			}
		}
		for _, s := range w.Servers {
			if zones[w.Nodes[one].Zone] != zones[s.Zone] {
				w.SetLinkCut(one, s.Name, cut)
			}
		}
	}
	w.Tracef("%v parted from the rest: %v", sorted(zones), cut)
}

// transmit passes something from one node to another through the weather.
func (w *World) transmit(from, to *Node, body any, deliver func()) {
	w.Messages++
	if w.OnSend != nil && to != nil {
		w.OnSend(from, to, body)
	}
	if to == nil || w.cutLinks[[2]string{from.Name, to.Name}] {
		return
	}
	drop, duplicate, delay := w.Random.Float64() < w.Conditions.DropRate, w.Random.Float64() < w.Conditions.DuplicateRate, clock.Micros(0)
	if w.Random.Float64() < w.Conditions.DelayRate {
		delay = w.randomBetween(0, w.Conditions.MaxDelay)
	}
	if w.DeliveryFault != nil {
		extraDrop, extraCopy, extraDelay := w.DeliveryFault(from.Name, to.Name, body)
		drop, duplicate, delay = drop || extraDrop, duplicate || extraCopy, delay+extraDelay
	}
	if drop {
		return
	}
	arrive := func() {
		if !w.cutLinks[[2]string{from.Name, to.Name}] {
			to.runOrDefer(deliver)
		}
	}
	w.After(w.randomBetween(150, 900)+delay, arrive)
	// An ask is a call on a connection: it may be lost or late, never doubled.
	if duplicate && body != nil && !isRequest(body) {
		w.After(w.randomBetween(150, 5000)+delay, arrive)
	}
}

func isRequest(body any) bool {
	switch body.(type) {
	case batchstore.SubmitRequest, batchstore.EndRequest, batchstore.BatchStatusRequest, batchstore.ReadRequest, batchstore.ClaimRequest, batchstore.CompleteClaimRequest, controlplane.PutConfigurationRequest, controlplane.RetireRequest, quota.LeaseRequest, quota.UsageRequest:
		return true
	}
	return false
}

// Call asks a node's machine over the network; back is told once: the answer, or
// an unknown outcome when the deadline passed.
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
		finish(nil, errs.New(errs.OutcomeUnknown, "ask again with the same key", "no answer in time"))
	})
	if to == nil {
		return
	}
	w.transmit(from, to, body, func() {
		if to.machine == nil {
			return
		}
		to.lastCall++
		to.calls[to.lastCall] = func(a machine.Reply) {
			w.transmit(to, from, a.Body, func() { finish(a.Body, a.Err) })
		}
		to.execute(to.machine.Call(to.lastCall, body, w.Now))
	})
}
