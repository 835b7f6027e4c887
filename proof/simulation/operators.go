package simulation

import (
	"tuliprudder/core/control"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/membership/identity"
)

// This file is operators who number their own configurations, build them on the
// version they read, and send an order again when its answer does not come.

// ConfigRead is one reading of the latest configuration as its operator saw it.
type ConfigRead struct {
	Called, Told clock.Micros
	Version      uint64
	Document     int // its number among the documents of the day; -1 when unknown
	None         bool
	Failed       bool // no answer, or none that says anything
}

// order is an operator's numbered configuration; it may be sent more than once.
type order struct {
	document  int
	body      []byte
	number    uint64 // 0: the core numbers it, whatever is in force
	base      uint64
	confirmed bool // a receipt was given, whether the operator heard of it or not
	settled   bool // the operator has a clear answer
}

const (
	operatorExpiry = 4 * clock.Second
	operatorSlack  = 500 * clock.Millisecond
)

// newOrder writes a configuration under a number of the operator's choice.
func (v *Watch) newOrder(number, base uint64) *order {
	v.documents++
	o := &order{document: v.documents, number: number, base: base}
	o.body = planOf(o.document, v.w.Forwarding)
	v.docs[string(o.body)] = o.document
	return o
}

// Send sends an order to a core, which asks whom it takes for the primary. Where
// the answer is lost the operator hears nothing. told may be nil.
func (v *Watch) Send(at *Node, o *order, loseAnswer bool, told func(p *Put)) {
	w := v.w
	if !at.up || at.core.Peer == "" {
		if told != nil {
			w.After(clock.Millisecond, func() { told(nil) })
		}
		return
	}
	p := &Put{Number: o.document, Body: string(o.body), Called: w.Now, HasBase: o.number > 0, Base: o.base, Wanted: o.number}
	v.Puts = append(v.Puts, p)
	v.Busy++
	ask := control.PutPlanAsk{Body: o.body, Number: o.number, Base: o.base, HasBase: o.number > 0, By: at.Name, Expiry: operatorExpiry}
	w.Ask(at, at.core.Peer, ask, operatorExpiry+operatorSlack, func(answer any, err error) {
		v.Busy--
		p.Told = w.Now
		receipt, ok := answer.(control.PlanReceipt)
		w.Note("%s: order %d as version %d on %d: %v %v, answer lost %v", at.Name, o.document, o.number, o.base, answer, err, loseAnswer)
		v.judgeAnswer(o, err, err == nil && ok)
		switch {
		case loseAnswer:
			p.Unknown = true
		case err == nil && ok:
			o.settled = true
			v.confirmed(p, receipt)
		case errs.Is(err, errs.StaleBase), errs.Is(err, errs.BadPlan):
			p.Stale, o.settled = true, true
		case errs.Is(err, errs.OutcomeUnknown):
			p.Unknown = true
		default:
			p.Refused = true
		}
		if told != nil {
			told(p)
		}
	})
}

// judgeAnswer judges an answer by what the order's earlier tries were given.
func (v *Watch) judgeAnswer(o *order, err error, confirmed bool) {
	if confirmed {
		o.confirmed = true
		return
	}
	v.saw(repeats)
	if o.confirmed && (errs.Is(err, errs.StaleBase) || errs.Is(err, errs.BadPlan)) {
		v.breach(repeats, "version %d was confirmed; sent again, it is refused: %v", o.number, err)
	}
}

// confirmed notes a receipt, and looks later whether it is in force.
func (v *Watch) confirmed(p *Put, receipt control.PlanReceipt) {
	p.Version = receipt.Version
	v.Served["plan"] = v.w.Now
	if known, taken := v.plans[receipt.Version]; taken && known != p.Body {
		v.breach(inForce, "plan version %d confirmed as %s and as %s", receipt.Version, known, p.Body)
	}
	v.plans[receipt.Version] = p.Body
	v.w.After(2*clock.Second, func() { v.planDue(p) })
}

// SendUntilClear sends an order again, to any core, until its outcome is clear.
func (v *Watch) SendUntilClear(o *order, tries int) {
	if o.settled || tries == 0 {
		return
	}
	v.Send(v.w.any(identity.Core), o, false, func(*Put) {
		v.w.After(v.w.between(100, 800)*clock.Millisecond, func() { v.SendUntilClear(o, tries-1) })
	})
}

// ReadLatest reads the latest configuration at a core.
func (v *Watch) ReadLatest(at *Node, told func(r *ConfigRead)) {
	w := v.w
	r := &ConfigRead{Called: w.Now, Document: -1}
	if !at.up || at.core.Peer == "" {
		w.After(clock.Millisecond, func() { r.Failed = true; told(r) })
		return
	}
	v.Reads = append(v.Reads, r)
	w.Ask(at, at.core.Peer, control.PlansAsk{Latest: true}, operatorExpiry, func(answer any, err error) {
		r.Told = w.Now
		plans, ok := answer.(control.Plans)
		switch {
		case errs.Is(err, errs.NotFound):
			r.None = true
		case err != nil || !ok || len(plans.Versions) != 1:
			r.Failed = true
		default:
			r.Version = plans.Versions[0].Number
			v.saw(inForce)
			if document, known := v.docs[string(plans.Versions[0].Body)]; known {
				r.Document = document
			} else {
				v.breach(inForce, "%s reads back version %d with a document that nobody put", at.Name, r.Version)
			}
		}
		told(r)
	})
}

// operator is one who reads, and puts the next version on what was read.
type operator struct {
	v      *Watch
	cores  []*Node
	latest uint64
	// Confirmed is when each of this operator's orders was confirmed.
	Confirmed []*Put
	stopped   bool
	orders    []*order
}

// Operate lets an operator work at some cores until it is stopped.
//
//revive:disable-next-line:unexported-return callers only hold what it returns
func (v *Watch) Operate(cores []*Node) *operator {
	op := &operator{v: v, cores: cores}
	if len(cores) > 0 {
		op.read()
	}
	return op
}

func (op *operator) at() *Node { return op.cores[op.v.w.Chance.Intn(len(op.cores))] }

// rest waits a moment before the next step.
func (op *operator) rest(next func()) {
	op.v.w.After(op.v.w.between(100, 700)*clock.Millisecond, func() {
		if !op.stopped && op.v.Calling {
			next()
		}
	})
}

func (op *operator) read() {
	op.v.ReadLatest(op.at(), func(r *ConfigRead) {
		if !r.Failed {
			op.latest = r.Version
		}
		if r.Failed || op.v.w.Chance.Intn(3) == 0 {
			op.rest(op.read)
			return
		}
		op.rest(op.put)
	})
}

func (op *operator) put() {
	v := op.v
	o := v.newOrder(op.latest+1, op.latest)
	op.orders = append(op.orders, o)
	op.send(o, 3)
}

// send sends an order, and again at other cores while nothing is clear.
func (op *operator) send(o *order, tries int) {
	v := op.v
	v.Send(op.at(), o, v.w.Chance.Intn(6) == 0, func(p *Put) {
		if p != nil && p.Version > 0 {
			op.latest = max(op.latest, p.Version)
			op.Confirmed = append(op.Confirmed, p)
		}
		if !o.settled && tries > 1 {
			op.rest(func() { op.send(o, tries-1) })
			return
		}
		op.rest(op.read)
	})
}

// stop ends the operator's work; what is not clear yet is sent again to any core,
// and some of what was confirmed too, though newer versions have come.
func (op *operator) stop() {
	op.stopped = true
	for _, o := range op.orders {
		if !o.settled {
			op.v.SendUntilClear(o, 40)
		} else if op.v.w.Chance.Intn(4) == 0 {
			op.v.Send(op.v.w.any(identity.Core), o, false, nil)
		}
	}
}

// nodes are the nodes of a kind.
func (w *World) nodes(kind string) []*Node {
	var out []*Node
	for _, name := range w.Names(kind) {
		out = append(out, w.Nodes[name])
	}
	return out
}
