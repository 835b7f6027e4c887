package replication

import (
	"maps"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// testUnit is the only unit of a testMember.
const testUnit = "u"

// testMember is a daemon with one unit, whose state is a list of strings.
type testMember struct {
	machine.Effects
	groups    *Groups
	list      []string
	confirmed []uint64
	ready     uint64 // epoch of the last GroupReady
	deposed   int
	disk      []machine.Record
}

func newTestMember() *testMember {
	m := &testMember{}
	m.groups = NewGroups(&m.Effects, m)
	return m
}

// restarted returns a new member that has recovered from this member's disk.
func (m *testMember) restarted() *testMember {
	again := newTestMember()
	for _, record := range m.disk {
		again.groups.Recover(record)
	}
	return again
}

func (m *testMember) Snapshot(unit string) Snapshot { return Parts(m.LocalSnapshot(unit)) }

func (m *testMember) LocalSnapshot(string) [][]byte {
	var parts [][]byte
	for _, text := range m.list {
		parts = append(parts, []byte(text))
	}
	return parts
}

func (m *testMember) Install(unit string, parts [][]byte) [][]byte {
	m.Restore(unit, parts)
	return parts
}

func (m *testMember) Restore(_ string, parts [][]byte) {
	m.list = nil
	for _, part := range parts {
		m.list = append(m.list, string(part))
	}
}

func (m *testMember) ApplyEntry(_ string, body []byte) { m.list = append(m.list, string(body)) }

func (m *testMember) Confirmed(_ string, seq uint64, _ clock.Micros) {
	m.confirmed = append(m.confirmed, seq)
}

func (m *testMember) GroupReady(_ string, epoch uint64, _ clock.Micros) { m.ready = epoch }

func (m *testMember) Deposed(_ string, _ uint64, _ clock.Micros) { m.deposed++ }

// add appends a string as an entry. It returns false if this member is not serving.
func (m *testMember) add(text string, now clock.Micros) bool {
	if m.groups.Group(testUnit).Role != Serving {
		return false
	}
	m.list = append(m.list, text)
	_, ok := m.groups.Append(testUnit, []byte(text), now)
	return ok
}

// messageFault is a network fault that affects one message.
type messageFault string

const (
	noFault    messageFault = ""
	dropped    messageFault = "drop"
	duplicated messageFault = "duplicate"
	delayed    messageFault = "delay" // until deliverDelayed
)

// messageFaults lists the faults, without noFault.
var messageFaults = []messageFault{dropped, duplicated, delayed}

type testMessage struct {
	to, from string
	body     any
}

// testCluster is a set of members and the network between them. A member that is deleted from it is
// frozen: it handles no more messages or ticks.
type testCluster struct {
	now          clock.Micros
	members      map[string]*testMember
	messageCount int
	delayed      []testMessage
	largestChunk int // in bytes
	// faultOf, if set, returns the fault of a message by its number, counted from 1.
	faultOf func(number int) messageFault
	// isCut, if set, reports whether messages in this direction are lost.
	isCut func(from, to string) bool
}

func newTestCluster(names ...string) *testCluster {
	c := &testCluster{now: 1000, members: map[string]*testMember{}}
	for _, name := range names {
		c.members[name] = newTestMember()
	}
	return c
}

// injectFault applies a fault to the message with the given number.
func (c *testCluster) injectFault(number int, fault messageFault) {
	c.faultOf = func(current int) messageFault {
		if current == number {
			return fault
		}
		return noFault
	}
}

// run executes effects and delivers messages until there are none left.
func (c *testCluster) run() {
	for {
		messages, executed := c.executeEffects()
		for _, message := range messages {
			c.deliverWithFault(message)
		}
		if !executed && len(messages) == 0 {
			return
		}
	}
}

// executeEffects drains the members' effects: it writes records to their disks and returns their
// messages.
func (c *testCluster) executeEffects() (messages []testMessage, executed bool) {
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		member := c.members[name]
		for _, effect := range member.Drain() {
			executed = true
			switch e := effect.(type) {
			case machine.Send:
				messages = append(messages, testMessage{to: e.To, from: name, body: e.Body})
			case machine.Persist:
				member.disk = append(member.disk, e.Records...)
				member.groups.Persisted(e.Token, c.now)
			}
		}
	}
	return messages, executed
}

func (c *testCluster) deliverWithFault(message testMessage) {
	c.messageCount++
	if chunk, ok := message.body.(SnapshotChunk); ok {
		c.largestChunk = max(c.largestChunk, partsSize(chunk.Parts))
	}
	fault := noFault
	if c.faultOf != nil {
		fault = c.faultOf(c.messageCount)
	}
	switch fault {
	case dropped:
	case duplicated:
		c.deliver(message)
		c.deliver(message)
	case delayed:
		c.delayed = append(c.delayed, message)
	default:
		c.deliver(message)
	}
}

func partsSize(parts [][]byte) int {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	return size
}

func (c *testCluster) deliver(message testMessage) {
	if c.isCut != nil && c.isCut(message.from, message.to) {
		return
	}
	if to := c.members[message.to]; to != nil {
		to.groups.HandleMessage(message.from, message.body, c.now)
	}
}

func (c *testCluster) deliverDelayed() {
	for _, message := range c.delayed {
		c.deliver(message)
	}
	c.delayed = nil
}

// advance advances the clock in steps of 50 ms, with a tick of every member at each step.
func (c *testCluster) advance(span clock.Micros) {
	for end := c.now + span; c.now < end; {
		c.now += 50 * clock.Millisecond
		for _, name := range slices.Sorted(maps.Keys(c.members)) {
			c.members[name].groups.Tick(c.now)
		}
		c.run()
	}
}

// formGroup forms a group under a new epoch and waits until its primary serves.
func (c *testCluster) formGroup(t *testing.T, epoch uint64, primary string, replicas ...string) {
	t.Helper()
	for _, replica := range replicas {
		c.members[replica].groups.BecomeReplica(testUnit, epoch, primary, c.now)
	}
	c.members[primary].groups.BecomePrimary(testUnit, epoch, replicas, c.now)
	c.run()
	c.advance(3 * clock.Second)
	if c.members[primary].ready != epoch {
		t.Fatalf("primary %s with replicas %s did not report the group as ready", primary, replicas)
	}
	c.members[primary].groups.CommitGroup(testUnit, epoch, c.now)
	c.run()
}

// awaitTakeover advances the clock until a member is ready as the primary of an epoch. This must not
// happen before leaseEnd.
func (c *testCluster) awaitTakeover(t *testing.T, successor *testMember, epoch uint64, leaseEnd clock.Micros) {
	t.Helper()
	for successor.ready != epoch {
		c.advance(50 * clock.Millisecond)
		if successor.ready == epoch && c.now < leaseEnd {
			t.Fatalf("the successor is ready at %d, before the lease expires at %d", c.now, leaseEnd)
		}
		if c.now > leaseEnd+5*clock.Second {
			t.Fatal("the successor is not ready 5 s after the lease has expired")
		}
	}
}
