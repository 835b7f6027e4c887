package replication

import (
	"maps"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// testUnit is the one unit of a testMember.
const testUnit = "u"

// testMember is one daemon with one unit, whose state is a list of texts.
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

// restarted is a member that has read back what is on this one's disk.
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

// add appends a text; false where this member does not serve.
func (m *testMember) add(text string, now clock.Micros) bool {
	if m.groups.Group(testUnit).Role != Serving {
		return false
	}
	m.list = append(m.list, text)
	_, ok := m.groups.Append(testUnit, []byte(text), now)
	return ok
}

// messageFault is what becomes of a message.
type messageFault string

const (
	noFault    messageFault = ""
	dropped    messageFault = "drop"
	duplicated messageFault = "duplicate"
	delayed    messageFault = "delay" // until deliverDelayed
)

// messageFaults are the fates other than delivery.
var messageFaults = []messageFault{dropped, duplicated, delayed}

type testMessage struct {
	to, from string
	body     any
}

// testCluster is some members with their messages in between. Members that are deleted from it
// are frozen.
type testCluster struct {
	now          clock.Micros
	members      map[string]*testMember
	messageCount int
	delayed      []testMessage
	largestChunk int // in bytes
	// faultOf, where set, gives the faultOf of a message by its number, the first is 1.
	faultOf func(number int) messageFault
	// isCut, where set, reports whether messages of this way are lost.
	isCut func(from, to string) bool
}

func newTestCluster(names ...string) *testCluster {
	c := &testCluster{now: 1000, members: map[string]*testMember{}}
	for _, name := range names {
		c.members[name] = newTestMember()
	}
	return c
}

// injectFault gives one message, by its number, another fate than delivery.
func (c *testCluster) injectFault(number int, fault messageFault) {
	c.faultOf = func(current int) messageFault {
		if current == number {
			return fault
		}
		return noFault
	}
}

// run executes effects and delivers messages until nothing is left to do.
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

// executeEffects takes the members' effects, writes to their disks and gives their messages.
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

// advance lets time go by, with ticks.
func (c *testCluster) advance(span clock.Micros) {
	for end := c.now + span; c.now < end; {
		c.now += 50 * clock.Millisecond
		for _, name := range slices.Sorted(maps.Keys(c.members)) {
			c.members[name].groups.Tick(c.now)
		}
		c.run()
	}
}

// formGroup makes a primary serve with its replicas.
func (c *testCluster) formGroup(t *testing.T, epoch uint64, primary string, replicas ...string) {
	t.Helper()
	for _, replica := range replicas {
		c.members[replica].groups.BecomeReplica(testUnit, epoch, primary, c.now)
	}
	c.members[primary].groups.BecomePrimary(testUnit, epoch, replicas, c.now)
	c.run()
	c.advance(3 * clock.Second)
	if c.members[primary].ready != epoch {
		t.Fatalf("%s was never reported ready with %s", primary, replicas)
	}
	c.members[primary].groups.CommitGroup(testUnit, epoch, c.now)
	c.run()
}

// awaitTakeover lets time go by until a member is ready as primary of an epoch, which must not be
// before a lease ends.
func (c *testCluster) awaitTakeover(t *testing.T, successor *testMember, epoch uint64, leaseEnd clock.Micros) {
	t.Helper()
	for successor.ready != epoch {
		c.advance(50 * clock.Millisecond)
		if successor.ready == epoch && c.now < leaseEnd {
			t.Fatalf("the successor is ready at %d, before the lease ends at %d", c.now, leaseEnd)
		}
		if c.now > leaseEnd+5*clock.Second {
			t.Fatal("the successor is never ready")
		}
	}
}
