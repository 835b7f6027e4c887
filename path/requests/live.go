package requests

import (
	"encoding/json"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/path/decisionlog"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/quota"
	"tuliprudder/path/scheduler"
)

type order struct {
	Live
	customer   *config.Customer
	class      *config.Class
	route      *config.Route
	plan       uint64
	arrived    clock.Micros
	expiry     clock.Micros
	call       uint64 // who waits for the next word
	queued     *scheduler.Order
	assignment *scheduler.Assignment
	release    quota.Release
	avoid      map[string]int
	tries      int
	ran        bool // a try may have run, in part at least
	left       bool
	claimed    bool
	output     string
}

// live begins an order: it is checked, takes its place in the allowance, claims
// its key, and waits in the queue.
func (m *Machine) live(call uint64, ask Live, now clock.Micros) {
	o := &order{Live: ask, call: call, arrived: now, avoid: map[string]int{}}
	if err := m.check(o, now); err != nil {
		m.answer(call, nil, err)
		return
	}
	m.open[o.Order] = o
	m.quota.Take(o.customer.Name, o.class.Allowance, o.plan, 1, now, func(release quota.Release, err error, now clock.Micros) {
		if err != nil {
			m.end(o, nil, err, now)
			return
		}
		o.release = release
		m.decisions.Begin(decisionlog.Entry{Order: o.Order, Customer: o.customer.Name, Route: o.route.Name, Rank: o.class.Rank, Arrived: o.arrived})
		if o.Key != "" && !m.Unclaimed {
			m.claim(o, now)
			return
		}
		m.submit(o, nil, now)
	})
}

func (m *Machine) check(o *order, now clock.Micros) error {
	plan, customer, class, err := m.caller(o.Caller)
	if err != nil {
		return err
	}
	route, err := routeFor(plan, class, o.Route, false)
	if err != nil {
		return err
	}
	switch {
	case o.Input == "":
		return errs.New(errs.BadInput, "give the order an input", "input is empty")
	case o.MaxTokens < 0 || o.MaxTokens > route.MaxTokens:
		return errs.New(errs.BadInput, "leave max_tokens out, or keep to the route's bound", "max_tokens %d is not within 1 to %d", o.MaxTokens, route.MaxTokens)
	case o.ExpiryUS < 0:
		return errs.Later(errs.Expired, clock.Second, "give an expiry that lies ahead, in microseconds from now", "the order had expired before it came")
	case len(o.Key) > 256:
		return errs.New(errs.BadInput, "use a key of at most 256 bytes", "the idempotency key is too long")
	case o.Key != "" && route.Kind != config.OneShot:
		return errs.New(errs.BadInput, "leave the key out: only one-shot orders and bundles take one", "route %q is of kind %s", route.Name, route.Kind)
	case !m.scheduler.Fresh(now):
		return errs.Later(errs.NotReady, clock.Second, "ask another daemon, or come back", "this daemon's news are old; it refreshes them first")
	}
	o.customer, o.class, o.route, o.plan = customer, class, route, plan.Version
	o.expiry = now + route.Expiry
	if o.ExpiryUS > 0 {
		o.expiry = min(o.expiry, now+o.ExpiryUS)
	}
	if o.MaxTokens == 0 {
		o.MaxTokens = route.MaxTokens
	}
	return nil
}

// end gives an order's last word.
func (m *Machine) end(o *order, answer any, err error, now clock.Micros) {
	delete(m.open, o.Order)
	if o.release != nil {
		o.release(now)
	}
	if err != nil {
		m.decisions.Ended(o.Order, err.Error())
	}
	m.answer(o.call, answer, err)
}

// askStore asks the store of a bundle or a claim; back is told once.
func (m *Machine) askStore(id string, body func(slot int) any, expiry, now clock.Micros, back machine.Callback) {
	slot, owner, err := m.reader.StoreOf(id)
	if err != nil {
		back(nil, err, now)
		return
	}
	m.wire.Ask(owner.Peer, body(slot), expiry, back)
}

// claim claims the key before anything starts: a repeated key gets the first
// order's answer.
func (m *Machine) claim(o *order, now clock.Micros) {
	claim := shard.Claim{Customer: o.customer.Name, Key: o.Key, Order: o.Order, Hash: shard.Hash(o.route.Name, o.Input)}
	m.askStore(shard.ClaimID(o.customer.Name, o.Key), func(slot int) any { return store.ClaimAsk{Slot: slot, Claim: claim, Expiry: m.set.Commit} },
		m.set.Commit+clock.Second, now, func(body any, err error, now clock.Micros) {
			answer, ok := body.(store.ClaimAnswer)
			switch {
			case err != nil:
				m.end(o, nil, err, now)
			case !ok:
				m.end(o, nil, unexpectedAnswer(body), now)
			case answer.Yours:
				o.claimed = true
				m.submit(o, nil, now)
			case answer.Claim.State == shard.Answered:
				var first Answer
				if err := json.Unmarshal(answer.Claim.Answer, &first); err != nil {
					m.end(o, nil, errs.New(errs.ServerFault, "run the same release on all daemons", "the key's first answer can't be read: %v", err), now)
					return
				}
				first.Replayed = true
				m.end(o, first, nil, now)
			default:
				m.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "ask again with the same key for the first order's answer", "the key's first order (%s) runs, or was cut off", answer.Claim.Order), now)
			}
		})
}

func unexpectedAnswer(body any) error {
	return errs.New(errs.ServerFault, "run the same release on all daemons", "the store answered %T", body)
}

// settle notes how a claimed order went, so that a repeated key hears it.
func (m *Machine) settle(o *order, state string, answer any, now clock.Micros, back func(error, clock.Micros)) {
	id := shard.ClaimID(o.customer.Name, o.Key)
	data, _ := json.Marshal(answer)
	m.askStore(id, func(slot int) any {
		return store.SettleAsk{Slot: slot, ID: id, State: state, Answer: data, Expiry: m.set.Commit}
	}, m.set.Commit+clock.Second, now, func(_ any, err error, now clock.Micros) { back(err, now) })
}

// reject says no for good. A claimed key is voided durably first; where that
// can't be confirmed the outcome is unknown.
func (m *Machine) reject(o *order, why error, now clock.Micros) {
	if !o.claimed {
		m.end(o, nil, why, now)
		return
	}
	m.settle(o, shard.Void, nil, now, func(err error, now clock.Micros) {
		if err != nil {
			why = errs.Later(errs.OutcomeUnknown, clock.Second, "ask again with the same key", "the order did not run, but its key could not be freed: %v", err)
		}
		m.end(o, nil, why, now)
	})
}

// giveUp ends an order that no server finished: it is rejected only if no try
// of it can have run.
func (m *Machine) giveUp(o *order, why error, now clock.Micros) {
	if o.ran && !m.LateRefusal {
		m.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "ask anew; this stream does not go on", "a try of the order may have run in part: %v", why), now)
		return
	}
	m.reject(o, why, now)
}

// submit lets an order wait for a server; last is why it has to once more.
func (m *Machine) submit(o *order, last error, now clock.Micros) {
	switch {
	case o.left:
		m.giveUp(o, callerGone(), now)
		return
	case o.tries >= m.set.MostTries, o.tries > 0 && !m.scheduler.Retry():
		m.giveUp(o, last, now)
		return
	}
	o.tries++
	o.queued = &scheduler.Order{ID: o.Order, Customer: o.customer.Name, Route: o.route, Rank: o.class.Rank, Prefix: o.route.Prefix, Expiry: o.expiry, Avoid: o.avoid}
	o.queued.Drop = func(err error, now clock.Micros) { m.giveUp(o, err, now) }
	o.queued.Start = func(assignment *scheduler.Assignment, _ clock.Micros) {
		o.assignment = assignment
		if m.FromStart {
			o.output = ""
		}
		m.answer(o.call, Run{Kind: o.route.Kind, Expiry: o.expiry, Request: modelclient.Request{Address: assignment.Server.Address, Order: o.Order, Model: o.route.Model, Prefix: o.route.Prefix,
			Input: o.Input, Partial: o.output, MaxTokens: o.MaxTokens, Priority: m.scheduler.Priority(o.queued), Silence: m.set.Silence}}, nil)
	}
	if err := m.scheduler.Submit(o.queued, now); err != nil {
		m.giveUp(o, err, now)
	}
}

func callerGone() error {
	return errs.New(errs.Refused, "ask again", "the caller left before the order started")
}

// callerLeft takes an order whose caller has gone out of the queue. One that runs
// is ended by the event loop, which tells how it went.
func (m *Machine) callerLeft(name string, now clock.Micros) {
	o := m.open[name]
	if o == nil {
		return
	}
	o.left = true
	if o.queued != nil && o.assignment == nil && m.scheduler.Cancel(o.queued) {
		m.giveUp(o, callerGone(), now)
	}
}

// completed ends an order with its answer; a claimed key keeps the answer first.
func (m *Machine) completed(o *order, ran Ran, assignment *scheduler.Assignment, now clock.Micros) {
	assignment.Release(now-assignment.Started, true, now)
	answer := Answer{Order: o.Order, Status: answerOK, Output: ran.Output, Server: assignment.Server.Name}
	if !o.claimed {
		m.end(o, answer, nil, now)
		return
	}
	m.settle(o, shard.Answered, answer, now, func(_ error, now clock.Micros) { m.end(o, answer, nil, now) })
}

// tryFinished decides by how a try went.
func (m *Machine) tryFinished(call uint64, ran Ran, now clock.Micros) {
	o := m.open[ran.Order]
	if o == nil || o.assignment == nil {
		m.answer(call, nil, errs.New(errs.OutcomeUnknown, "ask anew", "no order %q is under way here", ran.Order))
		return
	}
	assignment := o.assignment
	o.call, o.assignment, o.queued, o.output = call, nil, nil, ran.Output
	m.decisions.Tried(o.Order, decisionlog.Try{Server: assignment.Server.Name, Scores: assignment.Scores, At: assignment.Started, Took: now - assignment.Started, Outcome: ran.Outcome.String(), Error: ran.Why})
	switch {
	case ran.Outcome == modelclient.Complete, m.TakeCut && ran.Outcome == modelclient.Cut && ran.Output != "":
		m.completed(o, ran, assignment, now)
	case ran.Outcome == modelclient.NotStarted:
		assignment.Rejected(now)
		if o.avoid[assignment.Server.Name] = 3; len(o.avoid) >= 3 {
			clear(o.avoid)
		}
		m.submit(o, errs.Later(errs.Busy, m.scheduler.After(now), "come back after the time given", "no server took the order: %s", ran.Why), now)
	case ran.Outcome == modelclient.Rejected:
		assignment.Release(0, true, now)
		m.giveUp(o, errs.New(errs.BadInput, "correct the input for this route's model", "%s", ran.Why), now)
	case o.route.Kind == config.OneShot && !m.SecondRun:
		// It may have run: never a second time.
		assignment.Release(0, false, now)
		m.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "find out by other means whether it ran before asking anew", "the order started on a server and gave no whole answer: %s", ran.Why), now)
	case ran.Over || (ran.Output != "" && o.route.Kind == config.Stream):
		assignment.Release(0, ran.Over, now)
		m.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "ask anew; this stream does not go on", "the stream was cut: %s", ran.Why), now)
	default:
		// Nothing has reached the caller yet, or the kind may be gone on with.
		assignment.Release(0, false, now)
		o.ran = true
		o.avoid[assignment.Server.Name]++
		m.submit(o, errs.Later(errs.ServerFault, clock.Second, "ask again", "no server finished the order: %s", ran.Why), now)
	}
}
