package controlplane

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/changequeue"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

// This file replicates decisions on permit requests (package exclusive). Each request is decided
// under the lease while no change is in flight, so that the complete state is confirmed; the
// resulting update is on every replica's disk before the node receives a permit.

const (
	// maxPermitRequests limits how many nodes wait for a decision.
	maxPermitRequests = 64
	// permitRequestTimeout limits how long a node waits for a decision.
	permitRequestTimeout = clock.Second
)

// permitRequest is a node's queued request.
type permitRequest struct {
	call     uint64
	deadline clock.Micros
	exclusive.Request
}

// permitRequests are the queued requests, at most one per holder, and the response that is pending
// until its update is confirmed.
type permitRequests struct {
	waiting []permitRequest
	isNext  bool // a change was started since the last decision on permits

	pendingCall     uint64 // 0: none, or its caller no longer waits
	pendingDeadline clock.Micros
	pendingResponse exclusive.Response
}

// add queues a request. It replaces an earlier request of the same holder and returns the replaced
// call.
func (p *permitRequests) add(request permitRequest) (replaced []uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(other permitRequest) bool {
		isSame := other.Holder == request.Holder
		if isSame {
			replaced = append(replaced, other.call)
		}
		return isSame
	})
	p.waiting = append(p.waiting, request)
	return replaced
}

// next removes and returns the first request; it returns false if none is queued.
func (p *permitRequests) next() (permitRequest, bool) {
	if len(p.waiting) == 0 {
		return permitRequest{}, false
	}
	first := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	return first, true
}

// expire removes the requests past their deadlines and returns their calls. An update in flight
// continues without its caller.
func (p *permitRequests) expire(now clock.Micros) (calls []uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(request permitRequest) bool {
		isLate := now >= request.deadline
		if isLate {
			calls = append(calls, request.call)
		}
		return isLate
	})
	if p.pendingCall != 0 && now >= p.pendingDeadline {
		calls = append(calls, p.pendingCall)
		p.pendingCall = 0
	}
	return calls
}

// clear removes all requests and returns their calls.
func (p *permitRequests) clear() (calls []uint64) {
	for _, request := range p.waiting {
		calls = append(calls, request.call)
	}
	if p.pendingCall != 0 {
		calls = append(calls, p.pendingCall)
	}
	*p = permitRequests{}
	return calls
}

// AddActSource adds a source of acts; it is queried while this core is primary and holds its lease.
func (c *Core) AddActSource(source exclusive.Source) { c.actSources = append(c.actSources, source) }

// SetOwnHolder sets the identity of this core as a holder of permits.
func (c *Core) SetOwnHolder(holder exclusive.Holder) { c.arbiter.SetSelf(holder) }

// dueActs returns the acts that the sources propose.
func (c *Core) dueActs() (due []exclusive.Act) {
	for _, source := range c.actSources {
		due = append(due, source.Due(&c.state.Acts)...)
	}
	return due
}

// requestPermits queues a node's request. A request that can change nothing is answered at once,
// without being queued.
func (c *Core) requestPermits(call uint64, request exclusive.Request, now clock.Micros) {
	if !c.HoldsLease(now) {
		c.rejectNotPrimary(call)
		return
	}
	c.arbiter.RequestReceived(request, now)
	if exclusive.IsNoOp(&c.state.Acts, request, c.dueActs()) {
		c.Emit(machine.Reply{Call: call, Body: c.arbiter.Response(nil)})
		return
	}
	if len(c.permitRequests.waiting) >= maxPermitRequests {
		c.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.Busy, clock.Second, "send it again", "too many permit requests are queued")})
		return
	}
	replaced := c.permitRequests.add(permitRequest{call: call, deadline: now + permitRequestTimeout, Request: request})
	c.rejectPermitRequests(replaced)
	c.processQueue(now)
}

// decideOnPermits decides the next permit request; it returns false if none is queued. The caller
// must hold the lease, and no change may be in flight.
func (c *Core) decideOnPermits(now clock.Micros) bool {
	request, ok := c.permitRequests.next()
	c.permitRequests.isNext = false
	if !ok {
		return false
	}
	decision := c.arbiter.Decide(&c.state.Acts, request.Request, c.dueActs(), now)
	for _, event := range decision.Events {
		c.Emit(machine.LogEvent{Event: event})
	}
	response := c.arbiter.Response(decision.Permits)
	if decision.Update.IsEmpty() {
		c.Emit(machine.Reply{Call: request.call, Body: response})
		return true
	}
	p := &c.permitRequests
	p.pendingCall, p.pendingDeadline, p.pendingResponse = request.call, request.deadline, response
	return c.replicate(changequeue.Change{Entry: state.UpdateActs{Update: decision.Update}}, now)
}

// replyWithPermits answers the node whose request led to the confirmed change.
func (c *Core) replyWithPermits(confirmed changequeue.Change) {
	if !updatesActs(confirmed.Entry) {
		return
	}
	c.skipMapUpdate()
	p := &c.permitRequests
	if p.pendingCall != 0 {
		c.Emit(machine.Reply{Call: p.pendingCall, Body: p.pendingResponse})
	}
	p.pendingCall, p.pendingResponse = 0, exclusive.Response{}
}

// rejectPermitRequests answers nodes whose requests were not decided, or whose decisions may not be
// durable. The nodes keep their outcomes and report them again.
func (c *Core) rejectPermitRequests(calls []uint64) {
	for _, call := range calls {
		c.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.OutcomeUnknown, clock.Second,
			"send it again, with all outcomes", "it is not known whether the permits are durable")})
	}
}

// updatesActs reports whether an entry changes the table of acts, and nothing else.
func updatesActs(entry state.Entry) bool {
	_, ok := entry.(state.UpdateActs)
	return ok
}

// readActs returns the status of acts to an operator; only the primary knows the permits.
func (c *Core) readActs(call uint64, now clock.Micros) {
	if !c.HoldsLease(now) {
		c.rejectNotPrimary(call)
		return
	}
	c.Emit(machine.Reply{Call: call, Body: ActsResponse{Subjects: c.arbiter.Status(&c.state.Acts, now)}})
}

// PrimaryAddress returns the address of the primary core as known to this core, and the epoch of its
// term; "" if no primary is known.
func (c *Core) PrimaryAddress() (address string, epoch uint64) {
	vote := c.Vote()
	for _, ref := range vote.Voters {
		if ref.ID == vote.Committed.Primary.ID {
			return ref.Peer, vote.Committed.Epoch
		}
	}
	return "", 0
}
