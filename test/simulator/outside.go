package simulator

import (
	"fmt"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/usage"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/membership"
)

const (
	// outsideName is the outside system's name in links.
	outsideName = "outside"
	// actInterval is between two acts of the subject whose acts are all performed.
	actInterval = 5 * clock.Second
	// outsideLease is within which holders must not act in the order A, B, A.
	outsideLease = 3 * clock.Second
	// maxActAge is how long an act may be open while nothing fails.
	maxActAge = 12 * clock.Second
)

// The subjects of the acts.
const (
	subjectWindows exclusive.Subject = "windows"
	subjectTarget  exclusive.Subject = "target"
)

// Outside is a system outside the fleet on which cores perform acts. It looks at no fence, and remembers
// what arrives.
type Outside struct {
	world     *World
	calls     []outsideCall
	accepted  int
	proposals int
	usage     *usageReference
	// Until when it fails in a way.
	slowUntil, downUntil, busyUntil, answersLostUntil clock.Micros
	// onStep, where it is set, is notified of each step of an act at a node.
	onStep func(step actStep, n *Node)
}

// actStep is a step of an act.
type actStep int

// The steps.
const (
	stepRequested actStep = iota // the primary has the request
	stepGranted                  // the node has the permit
	stepDialled                  // the node is about to write
	stepArrived                  // the outside system has the call
	stepAnswered                 // the node has the answer, and hasn't reported it
	actStepCount
)

// outsideCall is a call that arrived.
type outsideCall struct {
	at     clock.Micros
	permit exclusive.Permit
}

// String is the call as it is printed.
func (c outsideCall) String() string {
	return fmt.Sprintf("%s %d %q by %s fence %d at %d ms", c.permit.Subject, c.permit.Number, c.permit.Content, c.permit.Holder.Name, c.permit.Fence, c.at/clock.Millisecond)
}

func newOutside(w *World) *Outside { return &Outside{world: w, usage: newUsageReference(w)} }

// enable has a core propose and perform acts.
func (o *Outside) enable(n *Node, core *machines.Core, incarnation uint64) {
	n.Core.AddActSource(outsideSource{o, n})
	holder := exclusive.Holder{Name: n.Name, Instance: fmt.Sprintf("%s/%d", n.ID, incarnation)}
	core.EnablePerformer(holder, exclusive.PerformerDefaults())
}

// outsideSource proposes acts at a core: each time with another content where it is not decided.
type outsideSource struct {
	outside *Outside
	node    *Node
}

// Due proposes the latest acts.
func (s outsideSource) Due(table *exclusive.Table) (due []exclusive.Act) {
	o := s.outside
	o.step(stepRequested, s.node)
	o.proposals++
	content := fmt.Appendf(nil, "%s, proposal %d", s.node.Name, o.proposals)
	latest := uint64(o.world.Now / actInterval)
	for number := latest - 1; number <= latest; number++ {
		due = append(due, exclusive.Act{Subject: subjectWindows, Number: number, Content: content})
	}
	record := table.Record(subjectTarget)
	if desired := fmt.Appendf(nil, "%d", o.world.Now/(3*clock.Second)); string(record.LastContent) != string(desired) {
		due = append(due, exclusive.Act{Subject: subjectTarget, Number: record.LastNumber + 1, Content: desired, Supersedes: true})
	}
	return due
}

func (o *Outside) step(step actStep, n *Node) {
	if o.onStep != nil {
		o.onStep(step, n)
	}
}

// act is one call of a node's process.
type act struct {
	outside    *Outside
	node       *Node
	generation int
	task       exclusive.Task
	isReset    bool
	isOver     bool // the result was reported
}

// perform calls the outside system, and resets the call at its deadline, as the daemon does
// (internal/daemon/effects).
func (o *Outside) perform(n *Node, task exclusive.Task) {
	w := o.world
	a := &act{outside: o, node: n, generation: n.generation, task: task}
	o.step(stepGranted, n)
	w.After(max(0, task.Deadline-w.Now), func() {
		a.isReset = true
		a.finish(exclusive.NoAnswer)
	})
	dialTime := w.randomBetween(300, 3*clock.Millisecond)
	if w.Random.Intn(5) == 0 {
		dialTime = w.randomBetween(0, 2*clock.Second)
	}
	w.After(dialTime, func() { n.runOrDefer(a.write) })
}

// write writes the call after a last look at the clock.
func (a *act) write() {
	w := a.outside.world
	if a.node.generation != a.generation || w.Now >= a.task.Deadline {
		return
	}
	a.outside.step(stepDialled, a.node)
	w.After(w.randomBetween(150, 20*clock.Millisecond), a.deliver)
}

// deliver has the call arrive once the link is whole, unless the connection is reset before.
func (a *act) deliver() {
	w := a.outside.world
	switch {
	case a.isReset || a.node.generation != a.generation:
	case w.isBlocked(a.node.Name, outsideName):
		w.After(20*clock.Millisecond, a.deliver)
	default:
		a.outside.arrive(a)
	}
}

// finish reports the result to the node's machine, once.
func (a *act) finish(result exclusive.Result) {
	a.node.runOrDefer(func() {
		if a.isOver || a.node.generation != a.generation {
			return
		}
		a.isOver = true
		a.outside.step(stepAnswered, a.node)
		if a.node.up && !a.node.frozen {
			a.node.execute(a.node.machine.Call(0, exclusive.Performed{ID: a.task.Permit.ID, Result: result}, a.outside.world.Now))
		}
	})
}

// arrive takes a call.
func (o *Outside) arrive(a *act) {
	w := o.world
	if w.Now < o.downUntil {
		return
	}
	latest := outsideCall{at: w.Now, permit: a.task.Permit}
	w.Tracef("outside: %s", latest)
	o.check(latest)
	if latest.permit.Subject == usage.Subject {
		o.usage.check(latest)
	}
	o.calls = append(o.calls, latest)
	o.step(stepArrived, a.node)
	result, delay := exclusive.Done, w.randomBetween(300, 3*clock.Millisecond)
	switch {
	case w.Now < o.busyUntil:
		result = exclusive.RetryLater
	case w.Now < o.slowUntil:
		delay = w.randomBetween(0, 4*clock.Second)
	}
	if result == exclusive.Done {
		o.accepted++
	}
	if w.Now < o.answersLostUntil {
		return
	}
	w.After(delay, func() {
		if !a.isReset && !w.isBlocked(outsideName, a.node.Name) {
			a.finish(result)
		}
	})
}

// check holds a call against all before it.
func (o *Outside) check(latest outsideCall) {
	v := o.world.Workload
	v.countCheck(actsExclusive)
	var between []string // holders of the subject's calls within the lease, the latest first
	for _, earlier := range slices.Backward(o.calls) {
		if earlier.permit.Subject != latest.permit.Subject {
			continue
		}
		if fault := conflict(earlier.permit, latest.permit); fault != "" {
			v.reportViolation(actsExclusive, "%s: %s, then %s", fault, earlier, latest)
		}
		if latest.at-earlier.at >= outsideLease {
			continue
		}
		isSame := earlier.permit.Holder.Name == latest.permit.Holder.Name
		if isSame && len(between) > 0 {
			v.reportViolation(actsExclusive, "%s acts, then %v, then %s", earlier, between, latest)
		}
		if !isSame {
			between = append(between, earlier.permit.Holder.Name)
		}
	}
}

// conflict is what is wrong with a permit after an earlier one on the same subject; "" for nothing.
func conflict(earlier, later exclusive.Permit) string {
	switch {
	case earlier.Number == later.Number && string(earlier.Content) != string(later.Content):
		return "two contents"
	case earlier.Fence == later.Fence && earlier.Holder.Name != later.Holder.Name:
		return "one fence of two holders"
	case earlier.Fence > later.Fence:
		return "a lower fence"
	case later.Supersedes && earlier.Number > later.Number:
		return "an act that was superseded"
	}
	return ""
}

// checkPerformed checks, when nothing has failed for a while, that acts are decided and done.
func (o *Outside) checkPerformed() {
	w := o.world
	w.Workload.countCheck(actsPerformed)
	table := &w.primary().Core.State().Acts
	if age := table.OldestOpenAge(w.Now); age > maxActAge {
		w.Workload.reportViolation(actsPerformed, "an act is open since %d ms: %+v", age/clock.Millisecond, table.Subjects)
	}
	latest := uint64((w.Now - maxActAge) / actInterval)
	if decided := table.Record(subjectWindows).LastNumber; decided < latest {
		w.Workload.reportViolation(actsPerformed, "act %d is not decided, the latest is %d", latest, decided)
	}
	o.usage.checkDecided()
}

// lastHolder is the node that acted last; any core before the first act.
func (o *Outside) lastHolder() *Node {
	for _, earlier := range slices.Backward(o.calls) {
		if n := o.world.Nodes[earlier.permit.Holder.Name]; n != nil {
			return n
		}
	}
	return o.world.randomNode(membership.Core)
}
