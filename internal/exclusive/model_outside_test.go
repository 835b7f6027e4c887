package exclusive

import (
	"fmt"
	"slices"

	"tuliprudder/internal/clock"
)

// outsideSystem takes calls and remembers them. It looks at no fence.
type outsideSystem struct {
	model       *model
	calls       []call
	accepted    int
	lastHolder  string
	slowUntil   clock.Micros
	downUntil   clock.Micros
	busyUntil   clock.Micros
	answersLost clock.Micros // until when
	calmSince   clock.Micros
	seenOpen    map[string]clock.Micros // when acts were first seen open while nothing failed
	violation   string
}

// call is what arrived.
type call struct {
	at      clock.Micros
	subject Subject
	number  uint64
	content string
	holder  string
	fence   uint64
}

// desired is what the sources want now; it changes every few seconds.
func (o *outsideSystem) desired(subject Subject) int64 {
	return (o.model.now + int64(len(subject))) / (7 * clock.Second)
}

func (o *outsideSystem) fail(duration clock.Micros) {
	until := o.model.now + duration
	o.model.logf("the outside system fails for %d ms", duration/clock.Millisecond)
	switch o.model.rng.Intn(4) {
	case 0:
		o.slowUntil = until
	case 1:
		o.downUntil = until
	case 2:
		o.busyUntil = until
	case 3:
		o.answersLost = until
	}
}

func (o *outsideSystem) recover() {
	o.calmSince = o.model.now
	o.slowUntil, o.downUntil, o.busyUntil, o.answersLost = 0, 0, 0, 0
}

// connection is one call of a process.
type connection struct {
	node    *modelNode
	task    Task
	isReset bool
	isOver  bool // the result was reported
}

// reset drops what is under way.
func (c *connection) reset() { c.isReset = true }

// connect dials, writes after a last look at the clock, and resets the connection at the deadline.
func (o *outsideSystem) connect(node *modelNode, task Task) {
	m := o.model
	c := &connection{node: node, task: task}
	node.connections = append(node.connections, c)
	m.after(task.Deadline-node.now(), func() {
		if !m.faults.noReset {
			c.reset()
		}
		node.do(func() { c.report(NoAnswer) })
	})
	m.after(m.delay(), func() { node.do(func() { o.write(c) }) })
	m.ambush(node)
}

// write writes the call, unless its time is over.
func (o *outsideSystem) write(c *connection) {
	isLate := c.node.now() >= c.task.Deadline
	if isLate && !o.model.faults.noDeadlineCheck {
		c.report(NoAnswer)
		return
	}
	if o.model.faults.noDeadlineCheck {
		c.isReset = false
	}
	o.model.after(clock.Millisecond+o.model.upTo(100*clock.Millisecond), func() { o.deliver(c) })
	o.model.ambush(c.node)
}

// deliver has the call arrive once the link is whole, unless the connection is reset before.
func (o *outsideSystem) deliver(c *connection) {
	m := o.model
	switch {
	case c.isReset:
	case c.node.isOutsideCut:
		m.after(modelStep, func() { o.deliver(c) })
	default:
		o.arrive(c)
	}
}

// report tells the performer how the call ended, once.
func (c *connection) report(result Result) {
	if c.isOver {
		return
	}
	c.isOver = true
	c.node.performer.Performed(Performed{ID: c.task.Permit.ID, Result: result}, c.node.now())
}

// arrive takes a call.
func (o *outsideSystem) arrive(c *connection) {
	m, permit := o.model, c.task.Permit
	if m.now < o.downUntil {
		return
	}
	latest := call{m.now, permit.Subject, permit.Number, string(permit.Content), permit.Holder.Name, permit.Fence}
	m.logf("%s %d %q by %s (%s) fence %d", latest.subject, latest.number, latest.content, latest.holder, permit.Holder.Instance, latest.fence)
	o.check(latest)
	m.ambush(c.node)
	o.calls = append(o.calls, latest)
	o.lastHolder = latest.holder
	result, delay := Done, clock.Millisecond
	switch {
	case m.now < o.busyUntil:
		result = RetryLater
	case m.now < o.slowUntil:
		delay = m.upTo(4 * clock.Second)
	}
	if result == Done {
		o.accepted++
	}
	if m.now < o.answersLost {
		return
	}
	m.after(delay, func() {
		if !c.isReset && !c.node.isOutsideCut {
			c.node.do(func() { c.report(result) })
		}
	})
}

// check holds a call against all before it.
func (o *outsideSystem) check(latest call) {
	var between []string // holders of the subject's calls within the lease, the latest first
	isRecent := true
	for _, earlier := range slices.Backward(o.calls) {
		if earlier.subject != latest.subject {
			continue
		}
		if earlier.number == latest.number && earlier.content != latest.content {
			o.violate("two contents: %+v, %+v", earlier, latest)
		}
		if earlier.fence == latest.fence && earlier.holder != latest.holder {
			o.violate("one fence of two holders: %+v, %+v", earlier, latest)
		}
		if earlier.fence > latest.fence {
			o.violate("a lower fence: %+v, %+v", earlier, latest)
		}
		if earlier.number > latest.number && latest.subject != "windows" {
			o.violate("an act that was superseded: %+v, %+v", earlier, latest)
		}
		isRecent = isRecent && latest.at-earlier.at < outsideLease
		if !isRecent {
			continue
		}
		if earlier.holder == latest.holder && len(between) > 0 {
			o.violate("%s acts, then %v, then %s again: %+v, %+v", latest.holder, between, latest.holder, earlier, latest)
		}
		if earlier.holder != latest.holder {
			between = append(between, earlier.holder)
		}
	}
}

// checkProgress tells of acts that stay open while nothing fails.
func (o *outsideSystem) checkProgress() {
	m := o.model
	term := m.term
	if term == nil {
		return
	}
	for subject, record := range term.table.Subjects {
		for _, act := range record.Open {
			since := max(o.openSince(subject, act.Number), o.calmSince)
			if m.now-since > maxOpenAge {
				o.violate("%s %d is open since %d s", subject, act.Number, (m.now-since)/clock.Second)
			}
		}
	}
	latest := uint64(m.now / windowInterval)
	if m.now > o.calmSince+maxOpenAge && term.table.Record("windows").LastNumber+uint64(maxOpenAge/windowInterval) < latest {
		o.violate("window %d is not decided", latest-uint64(maxOpenAge/windowInterval))
	}
}

// openSince is when an act was first seen open.
func (o *outsideSystem) openSince(subject Subject, number uint64) clock.Micros {
	key := fmt.Sprintf("%s %d", subject, number)
	if _, known := o.seenOpen[key]; !known {
		o.seenOpen[key] = o.model.now
	}
	return o.seenOpen[key]
}

func (o *outsideSystem) violate(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf("%.3f s: ", float64(o.model.now)/float64(clock.Second)) + fmt.Sprintf(format, args...)
		o.model.logf("VIOLATION %s", o.violation)
	}
}
