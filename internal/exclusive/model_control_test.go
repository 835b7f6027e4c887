package exclusive

import (
	"errors"
	"fmt"

	"tuliprudder/internal/clock"
)

var errNoResponse = errors.New("no response in time")

// modelTerm is one primary. It stands for the control state's replication group: at most one update is in
// flight, and it is durable on every replica when it is confirmed.
type modelTerm struct {
	model      *model
	node       *modelNode
	arbiter    *Arbiter
	confirmed  Table
	table      Table // with what is in flight
	leaseUntil clock.Micros
	isDeposed  bool // nothing is confirmed any more; the lease may still run for a moment
	inFlight   func()
	waiting    []func()
	proposals  int // each proposal of an act has another content
}

// startTerm has a node serve as primary.
func (m *model) startTerm(table Table) {
	m.epoch++
	var running []*modelNode
	for _, node := range m.nodes {
		if !node.isPaused && !node.isPartitioned {
			running = append(running, node)
		}
	}
	if len(running) == 0 {
		m.schedule(clock.Second, func() { m.startTerm(table) })
		return
	}
	if m.faults.tableLost {
		table = Table{}
	}
	settings := Defaults()
	term := &modelTerm{model: m, node: running[m.rng.Intn(len(running))], arbiter: NewArbiter(settings), confirmed: table, table: table}
	term.arbiter.InjectFaults(m.faults.InjectedFaults)
	term.arbiter.SetSelf(Holder{term.node.name, term.node.instance})
	term.arbiter.Start(m.epoch, term.node.now())
	m.term = term
	m.logf("%s serves as primary of term %d", term.node.name, m.epoch)
}

// changePrimary has the primary succeeded once the lease that it may still hold has ended. What it had
// in flight is lost, or found by its successor.
func (m *model) changePrimary() {
	old := m.term
	if old == nil || old.isDeposed {
		return
	}
	old.isDeposed = true
	old.leaseUntil = m.now + m.randomDuration(clock.Second)
	m.logf("%s is deposed", old.node.name)
	table := old.confirmed
	if m.chance(0.5) {
		table = old.table
	}
	m.schedule(old.leaseUntil-m.now+m.randomDuration(2*clock.Second), func() {
		m.term = nil
		m.startTerm(table)
	})
}

func (t *modelTerm) holdsLease() bool { return !t.isDeposed || t.model.now < t.leaseUntil }

// receive takes a request; it is decided when nothing is in flight.
func (t *modelTerm) receive(from *modelNode, request Request, reply func(Response)) {
	decide := func() { t.decide(from, request, reply) }
	if t.inFlight != nil {
		t.waiting = append(t.waiting, decide)
		return
	}
	decide()
}

func (t *modelTerm) decide(from *modelNode, request Request, reply func(Response)) {
	if !t.holdsLease() {
		return
	}
	now := t.node.now()
	due := t.due()
	if IsNoOp(&t.table, request, due) {
		t.arbiter.RequestReceived(request, now)
		reply(t.arbiter.Response(nil))
		return
	}
	decision := t.arbiter.Decide(&t.table, request, due, now)
	if len(decision.Permits) > 0 {
		t.model.maybeInjectStepFault(from)
	}
	answer := func() { reply(t.arbiter.Response(decision.Permits)) }
	if decision.Update.IsEmpty() {
		answer()
		return
	}
	t.table.Apply(decision.Update)
	t.model.maybeInjectStepFault(t.node)
	t.inFlight = answer
	if t.model.faults.answerBeforeDurable {
		answer()
		t.inFlight = func() {}
	}
	t.model.schedule(t.model.delay(), func() { t.node.runStep(t.confirm) })
}

// confirm ends the update in flight.
func (t *modelTerm) confirm() {
	if t.isDeposed {
		return
	}
	t.confirmed = t.table
	answer := t.inFlight
	t.inFlight = nil
	answer()
	waiting := t.waiting
	t.waiting = nil
	for _, decide := range waiting {
		if t.inFlight != nil {
			t.waiting = append(t.waiting, decide)
			continue
		}
		decide()
	}
}

// due proposes acts: a window is proposed again and again, with another content each time; a target
// replaces the one before.
func (t *modelTerm) due() []Act {
	t.proposals++
	content := fmt.Appendf(nil, "term %d, proposal %d", t.model.epoch, t.proposals)
	latest := uint64(t.model.now / windowInterval)
	var due []Act
	for number := latest - 2; number <= latest; number++ {
		due = append(due, Act{Subject: "windows", Number: number, Content: content})
	}
	for _, subject := range []Subject{"target/a", "target/b"} {
		desired := fmt.Appendf(nil, "%d", t.model.external.desired(subject))
		record := t.table.Record(subject)
		if record.LastNumber == 0 || string(record.LastContent) != string(desired) {
			due = append(due, Act{Subject: subject, Number: record.LastNumber + 1, Content: desired, Supersedes: true})
		}
	}
	return due
}
