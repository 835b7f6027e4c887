package exclusive

import (
	"fmt"
	"slices"

	"tuliprudder/internal/clock"
)

// externalSystem receives calls and records them. It does not check fences.
type externalSystem struct {
	model            *model
	calls            []call
	accepted         int
	lastHolder       string
	slowUntil        clock.Micros
	downUntil        clock.Micros
	busyUntil        clock.Micros
	answersLostUntil clock.Micros // until when
	recoveredAt      clock.Micros
	firstSeenOpen    map[string]clock.Micros // when each act was first seen open while nothing failed
	violation        string
}

// call is a call that the external system received.
type call struct {
	at      clock.Micros
	subject Subject
	number  uint64
	content string
	holder  string
	fence   uint64
}

// desired returns the target that the sources propose now; it changes every 7 s.
func (o *externalSystem) desired(subject Subject) int64 {
	return (o.model.now + int64(len(subject))) / (7 * clock.Second)
}

func (o *externalSystem) injectFault(duration clock.Micros) {
	until := o.model.now + duration
	o.model.logf("the external system fails for %d ms", duration/clock.Millisecond)
	switch o.model.rng.Intn(4) {
	case 0:
		o.slowUntil = until
	case 1:
		o.downUntil = until
	case 2:
		o.busyUntil = until
	case 3:
		o.answersLostUntil = until
	}
}

func (o *externalSystem) recover() {
	o.recoveredAt = o.model.now
	o.slowUntil, o.downUntil, o.busyUntil, o.answersLostUntil = 0, 0, 0, 0
}

// connection is the connection of one call by a process.
type connection struct {
	node       *modelNode
	task       Task
	isReset    bool
	isReported bool // to the performer
}

// reset drops a call that has not arrived yet.
func (c *connection) reset() { c.isReset = true }

// connect opens a connection, sends the call unless its deadline has passed by then, and resets the
// connection at the deadline.
func (o *externalSystem) connect(node *modelNode, task Task) {
	m := o.model
	c := &connection{node: node, task: task}
	node.connections = append(node.connections, c)
	m.schedule(task.Deadline-node.now(), func() {
		if !m.faults.noReset {
			c.reset()
		}
		node.runStep(func() { c.report(NoAnswer) })
	})
	m.schedule(m.delay(), func() { node.runStep(func() { o.write(c) }) })
	m.maybeInjectStepFault(node)
}

// write sends the call, unless its deadline has passed.
func (o *externalSystem) write(c *connection) {
	isLate := c.node.now() >= c.task.Deadline
	if isLate && !o.model.faults.noDeadlineCheck {
		c.report(NoAnswer)
		return
	}
	if o.model.faults.noDeadlineCheck {
		c.isReset = false
	}
	o.model.schedule(clock.Millisecond+o.model.randomDuration(100*clock.Millisecond), func() { o.deliver(c) })
	o.model.maybeInjectStepFault(c.node)
}

// deliver delivers the call once the external system is reachable, unless the connection is reset first.
func (o *externalSystem) deliver(c *connection) {
	m := o.model
	switch {
	case c.isReset:
	case c.node.isExternalUnreachable:
		m.schedule(modelStep, func() { o.deliver(c) })
	default:
		o.arrive(c)
	}
}

// report reports the result of the call to the performer, once.
func (c *connection) report(result Result) {
	if c.isReported {
		return
	}
	c.isReported = true
	c.node.performer.Performed(Performed{ID: c.task.Permit.ID, Result: result}, c.node.now())
}

// arrive processes a call that has arrived.
func (o *externalSystem) arrive(c *connection) {
	m, permit := o.model, c.task.Permit
	if m.now < o.downUntil {
		return
	}
	latest := call{m.now, permit.Subject, permit.Number, string(permit.Content), permit.Holder.Name, permit.Fence}
	m.logf("%s %d %q by %s (%s) fence %d", latest.subject, latest.number, latest.content, latest.holder, permit.Holder.Instance, latest.fence)
	o.checkCall(latest)
	m.maybeInjectStepFault(c.node)
	o.calls = append(o.calls, latest)
	o.lastHolder = latest.holder
	result, delay := Done, clock.Millisecond
	switch {
	case m.now < o.busyUntil:
		result = RetryLater
	case m.now < o.slowUntil:
		delay = m.randomDuration(4 * clock.Second)
	}
	if result == Done {
		o.accepted++
	}
	if m.now < o.answersLostUntil {
		return
	}
	m.schedule(delay, func() {
		if !c.isReset && !c.node.isExternalUnreachable {
			c.node.runStep(func() { c.report(result) })
		}
	})
}

// checkCall checks a call against all earlier ones on its subject.
func (o *externalSystem) checkCall(latest call) {
	var otherHolders []string // of the subject's recent calls, the latest first
	isRecent := true
	for _, earlier := range slices.Backward(o.calls) {
		if earlier.subject != latest.subject {
			continue
		}
		if earlier.number == latest.number && earlier.content != latest.content {
			o.recordViolation("one act with two contents: %+v, %+v", earlier, latest)
		}
		if earlier.fence == latest.fence && earlier.holder != latest.holder {
			o.recordViolation("one fence with two holders: %+v, %+v", earlier, latest)
		}
		if earlier.fence > latest.fence {
			o.recordViolation("fence decreased: %+v, %+v", earlier, latest)
		}
		if earlier.number > latest.number && latest.subject != "windows" {
			o.recordViolation("superseded act was performed: %+v, %+v", earlier, latest)
		}
		isRecent = isRecent && latest.at-earlier.at < alternationWindow
		if !isRecent {
			continue
		}
		if earlier.holder == latest.holder && len(otherHolders) > 0 {
			o.recordViolation("holders alternate: %s, then %v, then %s again: %+v, %+v", latest.holder, otherHolders, latest.holder, earlier, latest)
		}
		if earlier.holder != latest.holder {
			otherHolders = append(otherHolders, earlier.holder)
		}
	}
}

// checkProgress records a violation if acts stay open, or windows undecided, while nothing fails.
func (o *externalSystem) checkProgress() {
	m := o.model
	term := m.term
	if term == nil {
		return
	}
	for subject, record := range term.table.Subjects {
		for _, act := range record.Open {
			since := max(o.openSince(subject, act.Number), o.recoveredAt)
			if m.now-since > maxOpenAge {
				o.recordViolation("%s %d has been open for %d s", subject, act.Number, (m.now-since)/clock.Second)
			}
		}
	}
	latest := uint64(m.now / windowInterval)
	if m.now > o.recoveredAt+maxOpenAge && term.table.Record("windows").LastNumber+uint64(maxOpenAge/windowInterval) < latest {
		o.recordViolation("window %d is not decided", latest-uint64(maxOpenAge/windowInterval))
	}
}

// openSince returns when an act was first seen open.
func (o *externalSystem) openSince(subject Subject, number uint64) clock.Micros {
	key := fmt.Sprintf("%s %d", subject, number)
	if _, isSeen := o.firstSeenOpen[key]; !isSeen {
		o.firstSeenOpen[key] = o.model.now
	}
	return o.firstSeenOpen[key]
}

func (o *externalSystem) recordViolation(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf("%.3f s: ", float64(o.model.now)/float64(clock.Second)) + fmt.Sprintf(format, args...)
		o.model.logf("VIOLATION %s", o.violation)
	}
}
