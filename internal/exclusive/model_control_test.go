package exclusive

import (
	"errors"
	"fmt"

	"tuliprudder/internal/clock"
)

var errNoResponse = errors.New("no response in time")

// modelTerm is one term of a primary. It models the control state's replication group: at most one update
// is in flight, and a confirmed update is durable on every replica.
type modelTerm struct {
	model      *model
	node       *modelNode
	arbiter    *Arbiter
	confirmed  Table
	table      Table // includes the update in flight
	leaseUntil clock.Micros
	isDeposed  bool // confirms nothing more; the lease may still be valid for a moment
	inFlight   func()
	waiting    []func()
	proposals  int // makes the content of every proposal different
}

// startTerm makes a random node primary of a new term.
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
	m.logf("%s is primary of term %d", term.node.name, m.epoch)
}

// changePrimary replaces the primary once any lease that it still holds has ended. The update that it had
// in flight is either lost or part of its successor's table.
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

// receive processes a request once no update is in flight.
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

// confirm marks the update in flight as durable, and continues with the waiting requests.
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

// due proposes acts: each window is proposed repeatedly, with different content each time; a new target
// supersedes the previous one.
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
