package exclusive

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// The model is a fleet whose primary changes, whose nodes freeze, die and come back under the same
// name, whose messages are late, lost and doubled, and whose outside system is slow, down or
// unreachable. What the outside system received is held against the rules.

const (
	modelStep      = 20 * clock.Millisecond
	modelCalm      = 40 * clock.Second // at the end of a run
	outsideLease   = 3 * clock.Second  // within which holders must not act in the order A, B, A
	maxOpenAge     = 15 * clock.Second // of an act while nothing fails
	windowInterval = 5 * clock.Second
)

// modelFaults are faults that are planted in the model or in the package.
type modelFaults struct {
	InjectedFaults
	answerBeforeDurable bool // a response goes out while its update is in flight
	tableLost           bool // a new primary begins without the table
	noDeadlineCheck     bool // a process that was frozen sends after the deadline
	noReset             bool // a call that is given up stays in the network
}

type event struct {
	at     clock.Micros
	serial int
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type model struct {
	rng    *rand.Rand
	now    clock.Micros
	events eventQueue
	serial int
	faults modelFaults
	isCalm bool

	nodes   []*modelNode // those that run, and frozen ones that were replaced
	started int          // processes
	term    *modelTerm
	epoch   uint64
	outside *outsideSystem

	lossRate, slowRate, ambushRate float64
	faultInterval                  clock.Micros
	log                            []string
}

func newModel(seed int64, faults modelFaults) *model {
	m := &model{rng: rand.New(rand.NewSource(seed)), faults: faults, now: 1000 * clock.Second}
	m.lossRate = m.rng.Float64() * 0.1
	m.slowRate = m.rng.Float64() * 0.4
	m.ambushRate = m.rng.Float64() * 0.3
	m.faultInterval = clock.Second + m.upTo(8*clock.Second)
	m.outside = &outsideSystem{model: m, seenOpen: map[string]clock.Micros{}}
	for i := range 3 + m.rng.Intn(3) {
		m.boot(fmt.Sprintf("node-%d", i))
	}
	m.startTerm(Table{})
	return m
}

// after has something happen later.
func (m *model) after(delay clock.Micros, do func()) {
	m.serial++
	heap.Push(&m.events, event{m.now + delay, m.serial, do})
}

func (m *model) upTo(limit clock.Micros) clock.Micros {
	return clock.Micros(m.rng.Int63n(int64(limit)))
}

func (m *model) chance(probability float64) bool { return m.rng.Float64() < probability }

func (m *model) logf(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf("%9.3f s  ", float64(m.now)/float64(clock.Second))+fmt.Sprintf(format, args...))
}

// run lets time pass, with faults until the last part.
func (m *model) run(duration clock.Micros) {
	end := m.now + duration
	m.after(m.faultInterval, m.fail)
	m.tick()
	m.runUntil(end - modelCalm)
	m.recover()
	m.runUntil(end)
}

func (m *model) runUntil(end clock.Micros) {
	for len(m.events) > 0 && m.events[0].at <= end {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.do()
	}
	m.now = end
}

func (m *model) tick() {
	for _, node := range m.nodes {
		node.tick()
	}
	if m.isCalm {
		m.outside.checkProgress()
	}
	m.after(modelStep, m.tick)
}

// transmit carries a message between nodes; it may come late, twice or not at all.
func (m *model) transmit(from, to *modelNode, arrive func()) {
	if !m.isCalm && m.chance(m.lossRate) {
		return
	}
	copies := 1
	if !m.isCalm && m.chance(0.05) {
		copies = 2
	}
	for range copies {
		m.after(m.delay(), func() {
			if !from.isCut && !to.isCut {
				to.do(arrive)
			}
		})
	}
}

// delay is the time that a message or a step takes.
func (m *model) delay() clock.Micros {
	short := clock.Millisecond + m.upTo(5*clock.Millisecond)
	if m.isCalm || !m.chance(m.slowRate) {
		return short
	}
	if m.chance(0.5) {
		return m.upTo(300 * clock.Millisecond)
	}
	return m.upTo(5 * clock.Second)
}

// fail lets a fault happen, and the next one later.
func (m *model) fail() {
	if m.isCalm {
		return
	}
	m.after(m.faultInterval/2+m.upTo(m.faultInterval), m.fail)
	if len(m.nodes) == 0 {
		return
	}
	node := m.victim()
	duration := m.upTo(9 * clock.Second)
	switch m.rng.Intn(10) {
	case 0, 1:
		node.freeze(duration, m.chance(0.3))
	case 2, 3:
		node.kill()
		m.after(m.upTo(5*clock.Second), func() { m.boot(node.name) })
	case 4:
		node.isCut = true
		m.logf("%s is cut off from the nodes", node.name)
		m.after(duration, func() { node.isCut = false })
	case 5, 6:
		node.isOutsideCut = true
		m.logf("%s is cut off from the outside system", node.name)
		m.after(duration, func() { node.isOutsideCut = false })
	case 7, 8:
		m.changePrimary()
	case 9:
		m.outside.fail(duration)
	}
}

// victim draws a node; often the one that acted last.
func (m *model) victim() *modelNode {
	for _, node := range m.nodes {
		if node.name == m.outside.lastHolder && m.chance(0.5) {
			return node
		}
	}
	return m.nodes[m.rng.Intn(len(m.nodes))]
}

// recover ends all faults.
func (m *model) recover() {
	m.logf("calm")
	m.isCalm = true
	m.outside.recover()
	for _, node := range slices.Clone(m.nodes) {
		node.isCut, node.isOutsideCut = false, false
		if node.isReplaced {
			node.kill()
		}
		node.thaw()
	}
}

// ambush lets a fault hit a node at a step of a call.
func (m *model) ambush(node *modelNode) {
	if m.isCalm || !m.chance(m.ambushRate) {
		return
	}
	duration := m.upTo(6 * clock.Second)
	switch m.rng.Intn(5) {
	case 0:
		node.freeze(duration, m.chance(0.3))
	case 1:
		node.kill()
		m.after(m.upTo(3*clock.Second), func() { m.boot(node.name) })
	case 2:
		node.isCut = true
		m.logf("%s is cut off from the nodes", node.name)
		m.after(duration, func() { node.isCut = false })
	case 3:
		node.isOutsideCut = true
		m.logf("%s is cut off from the outside system", node.name)
		m.after(duration, func() { node.isOutsideCut = false })
	case 4:
		m.changePrimary()
	}
}

// modelNode is one run of a node's process.
type modelNode struct {
	model      *model
	name       string
	instance   string
	performer  *Performer
	calls      *machine.Calls
	clockAhead clock.Micros
	isUp       bool
	isFrozen   bool
	isReplaced bool // another process has its name; it ends when it thaws for a while
	deferred   []func()

	isCut, isOutsideCut bool
	connections         []*connection
}

// boot starts a process.
func (m *model) boot(name string) {
	m.started++
	node := &modelNode{model: m, name: name, instance: fmt.Sprintf("run-%d", m.started), isUp: true}
	node.clockAhead = m.upTo(20*clock.Second) - 10*clock.Second
	node.calls = machine.NewCalls()
	node.performer = NewPerformer(Holder{name, node.instance}, PerformerDefaults(), node.calls)
	node.performer.InjectFaults(m.faults.InjectedFaults)
	m.nodes = append(m.nodes, node)
	m.logf("%s starts as %s", name, node.instance)
}

// now is the time by the node's clock.
func (n *modelNode) now() clock.Micros { return n.model.now + n.clockAhead }

// do runs a step of the process, or keeps it while the process is frozen.
func (n *modelNode) do(step func()) {
	switch {
	case !n.isUp:
	case n.isFrozen:
		n.deferred = append(n.deferred, step)
	default:
		step()
		n.execute()
	}
}

// freeze stops the process for a while; another may be started under its name meanwhile.
func (n *modelNode) freeze(duration clock.Micros, isReplaced bool) {
	if n.isFrozen || n.isReplaced {
		return
	}
	n.model.logf("%s (%s) freezes", n.name, n.instance)
	n.isFrozen = true
	n.model.after(duration, n.thaw)
	if isReplaced {
		n.isReplaced = true
		n.model.after(n.model.upTo(2*clock.Second), func() { n.model.boot(n.name) })
		n.model.after(duration+5*clock.Second, n.kill)
	}
}

func (n *modelNode) thaw() {
	if !n.isFrozen || !n.isUp {
		return
	}
	n.model.logf("%s (%s) thaws", n.name, n.instance)
	n.isFrozen = false
	deferred := n.deferred
	n.deferred = nil
	for _, step := range deferred {
		n.do(step)
	}
}

func (n *modelNode) kill() {
	if !n.isUp {
		return
	}
	m := n.model
	m.logf("%s (%s) is killed", n.name, n.instance)
	n.isUp = false
	for i, other := range m.nodes {
		if other == n {
			m.nodes = append(m.nodes[:i:i], m.nodes[i+1:]...)
			break
		}
	}
	for _, connection := range n.connections {
		connection.reset()
	}
	if m.term != nil && m.term.node == n {
		m.changePrimary()
	}
}

func (n *modelNode) tick() {
	n.do(func() {
		term := n.model.term
		if term == nil {
			return
		}
		n.performer.Tick("primary", term.node == n, n.now())
	})
}

// execute carries out the effects of a step.
func (n *modelNode) execute() {
	for _, effect := range n.calls.Drain() {
		switch e := effect.(type) {
		case machine.Request:
			n.request(e)
		case machine.Execute:
			n.model.outside.connect(n, e.Task.(Task))
		}
	}
}

// request sends a request to the primary of now.
func (n *modelNode) request(e machine.Request) {
	m, term := n.model, n.model.term
	reply := func(body any, err error) {
		n.do(func() { n.calls.ReplyReceived(e.Token, body, err, n.now()) })
	}
	m.after(e.Timeout, func() { reply(nil, errNoResponse) })
	if term == nil {
		return
	}
	m.transmit(n, term.node, func() {
		term.receive(n, e.Body.(Request), func(response Response) {
			m.transmit(term.node, n, func() { n.calls.ReplyReceived(e.Token, response, nil, n.now()) })
		})
	})
}

// modelSeeds plays more runs than CI does.
var modelSeeds = flag.Int64("model-seeds", modelRuns, "runs of the model without planted faults")

const (
	modelRuns     = 300
	faultRuns     = 2000 // until a planted fault is found
	modelDuration = 160 * clock.Second
)

func TestModel(t *testing.T) {
	for seed := range *modelSeeds {
		m := newModel(seed, modelFaults{})
		m.run(modelDuration)
		if m.outside.violation != "" {
			for _, line := range m.log[max(0, len(m.log)-80):] {
				t.Log(line)
			}
			t.Fatalf("seed %d: %s", seed, m.outside.violation)
		}
		if m.outside.accepted < 20 {
			t.Fatalf("seed %d: only %d acts were done", seed, m.outside.accepted)
		}
	}
}

// Each planted fault is found by the model, so that it can find such a fault.
func TestModelFindsPlantedFaults(t *testing.T) {
	for name, faults := range map[string]modelFaults{
		"no holder lease":           {InjectedFaults: InjectedFaults{NoHolderLease: true}},
		"content of later proposer": {InjectedFaults: InjectedFaults{LaterContent: true}},
		"fence not raised":          {InjectedFaults: InjectedFaults{FormerFence: true}},
		"valid from arrival":        {InjectedFaults: InjectedFaults{ValidFromArrival: true}},
		"answer before durable":     {answerBeforeDurable: true},
		"table lost":                {tableLost: true},
		"no deadline check":         {noDeadlineCheck: true},
		"no reset":                  {noReset: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(faultRuns) {
				m := newModel(seed, faults)
				m.run(modelDuration)
				if m.outside.violation != "" {
					t.Logf("seed %d: %s", seed, m.outside.violation)
					return
				}
			}
			t.Fatalf("not found in %d runs", faultRuns)
		})
	}
}
