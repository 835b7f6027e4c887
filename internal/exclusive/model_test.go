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

// The model simulates a fleet: the primary changes; nodes pause, crash and restart under the same name;
// messages are delayed, lost and duplicated; and the external system is slow, down or unreachable. The
// calls that the external system receives are checked against the invariants of the package.

const (
	modelStep         = 20 * clock.Millisecond
	recoveryPeriod    = 40 * clock.Second // fault-free part at the end of a run
	alternationWindow = 3 * clock.Second  // within which holders must not alternate (A, B, A)
	maxOpenAge        = 15 * clock.Second // maximum age of an open act while nothing fails
	windowInterval    = 5 * clock.Second
)

// modelFaults are faults that are injected into the model or the package.
type modelFaults struct {
	InjectedFaults
	answerBeforeDurable bool // a response is sent while its update is in flight
	tableLost           bool // a new primary starts with an empty table
	noDeadlineCheck     bool // a process that was paused sends after the deadline
	noReset             bool // a call that has timed out stays in the network
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
	rng           *rand.Rand
	now           clock.Micros
	events        eventQueue
	serial        int
	faults        modelFaults
	faultsStopped bool

	nodes            []*modelNode // running ones, and paused ones that were replaced
	startedProcesses int          // number of processes started so far
	term             *modelTerm
	epoch            uint64
	external         *externalSystem

	lossRate, slowRate, stepFaultRate float64
	faultInterval                     clock.Micros
	log                               []string
}

func newModel(seed int64, faults modelFaults) *model {
	m := &model{rng: rand.New(rand.NewSource(seed)), faults: faults, now: 1000 * clock.Second}
	m.lossRate = m.rng.Float64() * 0.1
	m.slowRate = m.rng.Float64() * 0.4
	m.stepFaultRate = m.rng.Float64() * 0.3
	m.faultInterval = clock.Second + m.randomDuration(8*clock.Second)
	m.external = &externalSystem{model: m, firstSeenOpen: map[string]clock.Micros{}}
	for i := range 3 + m.rng.Intn(3) {
		m.startProcess(fmt.Sprintf("node-%d", i))
	}
	m.startTerm(Table{})
	return m
}

// schedule runs do after a delay.
func (m *model) schedule(delay clock.Micros, do func()) {
	m.serial++
	heap.Push(&m.events, event{m.now + delay, m.serial, do})
}

func (m *model) randomDuration(limit clock.Micros) clock.Micros {
	return clock.Micros(m.rng.Int63n(int64(limit)))
}

func (m *model) chance(probability float64) bool { return m.rng.Float64() < probability }

func (m *model) logf(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf("%9.3f s  ", float64(m.now)/float64(clock.Second))+fmt.Sprintf(format, args...))
}

// run simulates a duration, with faults until the recovery period.
func (m *model) run(duration clock.Micros) {
	end := m.now + duration
	m.schedule(m.faultInterval, m.injectFault)
	m.tick()
	m.runUntil(end - recoveryPeriod)
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
	if m.faultsStopped {
		m.external.checkProgress()
	}
	m.schedule(modelStep, m.tick)
}

// transmit delivers a message between nodes: late, twice or not at all.
func (m *model) transmit(from, to *modelNode, arrive func()) {
	if !m.faultsStopped && m.chance(m.lossRate) {
		return
	}
	copies := 1
	if !m.faultsStopped && m.chance(0.05) {
		copies = 2
	}
	for range copies {
		m.schedule(m.delay(), func() {
			if !from.isPartitioned && !to.isPartitioned {
				to.runStep(arrive)
			}
		})
	}
}

// delay returns the random duration of a message or step.
func (m *model) delay() clock.Micros {
	short := clock.Millisecond + m.randomDuration(5*clock.Millisecond)
	if m.faultsStopped || !m.chance(m.slowRate) {
		return short
	}
	if m.chance(0.5) {
		return m.randomDuration(300 * clock.Millisecond)
	}
	return m.randomDuration(5 * clock.Second)
}

// injectFault injects a random fault and schedules the next one.
func (m *model) injectFault() {
	if m.faultsStopped {
		return
	}
	m.schedule(m.faultInterval/2+m.randomDuration(m.faultInterval), m.injectFault)
	if len(m.nodes) == 0 {
		return
	}
	node := m.pickFaultTarget()
	duration := m.randomDuration(9 * clock.Second)
	switch m.rng.Intn(10) {
	case 0, 1:
		node.pause(duration, m.chance(0.3))
	case 2, 3:
		node.kill()
		m.schedule(m.randomDuration(5*clock.Second), func() { m.startProcess(node.name) })
	case 4:
		node.isPartitioned = true
		m.logf("%s is partitioned from the other nodes", node.name)
		m.schedule(duration, func() { node.isPartitioned = false })
	case 5, 6:
		node.isExternalUnreachable = true
		m.logf("%s cannot reach the external system", node.name)
		m.schedule(duration, func() { node.isExternalUnreachable = false })
	case 7, 8:
		m.changePrimary()
	case 9:
		m.external.injectFault(duration)
	}
}

// pickFaultTarget picks a random node, often the one that called the external system last.
func (m *model) pickFaultTarget() *modelNode {
	for _, node := range m.nodes {
		if node.name == m.external.lastHolder && m.chance(0.5) {
			return node
		}
	}
	return m.nodes[m.rng.Intn(len(m.nodes))]
}

// recover ends all faults and injects no more.
func (m *model) recover() {
	m.logf("calm")
	m.faultsStopped = true
	m.external.recover()
	for _, node := range slices.Clone(m.nodes) {
		node.isPartitioned, node.isExternalUnreachable = false, false
		if node.isReplaced {
			node.kill()
		}
		node.resume()
	}
}

// maybeInjectStepFault may inject a fault into a node at a step of a call.
func (m *model) maybeInjectStepFault(node *modelNode) {
	if m.faultsStopped || !m.chance(m.stepFaultRate) {
		return
	}
	duration := m.randomDuration(6 * clock.Second)
	switch m.rng.Intn(5) {
	case 0:
		node.pause(duration, m.chance(0.3))
	case 1:
		node.kill()
		m.schedule(m.randomDuration(3*clock.Second), func() { m.startProcess(node.name) })
	case 2:
		node.isPartitioned = true
		m.logf("%s is partitioned from the other nodes", node.name)
		m.schedule(duration, func() { node.isPartitioned = false })
	case 3:
		node.isExternalUnreachable = true
		m.logf("%s cannot reach the external system", node.name)
		m.schedule(duration, func() { node.isExternalUnreachable = false })
	case 4:
		m.changePrimary()
	}
}

// modelNode is one run of a node's process.
type modelNode struct {
	model       *model
	name        string
	instance    string
	performer   *Performer
	calls       *machine.Calls
	clockOffset clock.Micros
	isUp        bool
	isPaused    bool
	isReplaced  bool // another process has its name; killed 5 s after it resumes
	deferred    []func()

	isPartitioned, isExternalUnreachable bool
	connections                          []*connection
}

// startProcess starts a process of a node.
func (m *model) startProcess(name string) {
	m.startedProcesses++
	node := &modelNode{model: m, name: name, instance: fmt.Sprintf("run-%d", m.startedProcesses), isUp: true}
	node.clockOffset = m.randomDuration(20*clock.Second) - 10*clock.Second
	node.calls = machine.NewCalls()
	node.performer = NewPerformer(Holder{name, node.instance}, PerformerDefaults(), node.calls)
	node.performer.InjectFaults(m.faults.InjectedFaults)
	m.nodes = append(m.nodes, node)
	m.logf("%s starts as %s", name, node.instance)
}

// now returns the time by the node's clock.
func (n *modelNode) now() clock.Micros { return n.model.now + n.clockOffset }

// runStep runs a step of the process, or defers it while the process is paused.
func (n *modelNode) runStep(step func()) {
	switch {
	case !n.isUp:
	case n.isPaused:
		n.deferred = append(n.deferred, step)
	default:
		step()
		n.execute()
	}
}

// pause suspends the process for a while; with isReplaced, another process starts under its name.
func (n *modelNode) pause(duration clock.Micros, isReplaced bool) {
	if n.isPaused || n.isReplaced {
		return
	}
	n.model.logf("%s (%s) is paused", n.name, n.instance)
	n.isPaused = true
	n.model.schedule(duration, n.resume)
	if isReplaced {
		n.isReplaced = true
		n.model.schedule(n.model.randomDuration(2*clock.Second), func() { n.model.startProcess(n.name) })
		n.model.schedule(duration+5*clock.Second, n.kill)
	}
}

func (n *modelNode) resume() {
	if !n.isPaused || !n.isUp {
		return
	}
	n.model.logf("%s (%s) resumes", n.name, n.instance)
	n.isPaused = false
	deferred := n.deferred
	n.deferred = nil
	for _, step := range deferred {
		n.runStep(step)
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
	n.runStep(func() {
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
			n.model.external.connect(n, e.Task.(Task))
		}
	}
}

// request sends a request to the current primary.
func (n *modelNode) request(e machine.Request) {
	m, term := n.model, n.model.term
	reply := func(body any, err error) {
		n.runStep(func() { n.calls.ReplyReceived(e.Token, body, err, n.now()) })
	}
	m.schedule(e.Timeout, func() { reply(nil, errNoResponse) })
	if term == nil {
		return
	}
	m.transmit(n, term.node, func() {
		term.receive(n, e.Body.(Request), func(response Response) {
			m.transmit(term.node, n, func() { n.calls.ReplyReceived(e.Token, response, nil, n.now()) })
		})
	})
}

// modelSeeds allows for more runs than in CI.
var modelSeeds = flag.Int64("model-seeds", modelRuns, "number of model runs without injected faults")

const (
	modelRuns     = 300
	faultRuns     = 2000 // maximum number of runs until an injected fault is detected
	modelDuration = 160 * clock.Second
)

func TestModel(t *testing.T) {
	for seed := range *modelSeeds {
		m := newModel(seed, modelFaults{})
		m.run(modelDuration)
		if m.external.violation != "" {
			for _, line := range m.log[max(0, len(m.log)-80):] {
				t.Log(line)
			}
			t.Fatalf("seed %d: %s", seed, m.external.violation)
		}
		if m.external.accepted < 20 {
			t.Fatalf("seed %d: only %d acts were done, want at least 20", seed, m.external.accepted)
		}
	}
}

// Checks that the model detects each injected fault, so that a pass of TestModel means something.
func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, faults := range map[string]modelFaults{
		"no holder lease":           {InjectedFaults: InjectedFaults{NoHolderLease: true}},
		"content of later proposer": {InjectedFaults: InjectedFaults{LatestProposedContent: true}},
		"fence not raised":          {InjectedFaults: InjectedFaults{StaleFence: true}},
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
				if m.external.violation != "" {
					t.Logf("seed %d: %s", seed, m.external.violation)
					return
				}
			}
			t.Fatalf("fault was not detected in %d runs", faultRuns)
		})
	}
}
