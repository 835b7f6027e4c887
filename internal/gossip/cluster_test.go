package gossip

import (
	"encoding/json"
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// votersKey is the key of the update that names the voters in these tests. Its value has the weights
// by member ID as JSON.
const votersKey = "voters"

func settingsWithVoters() Settings {
	settings := Defaults()
	settings.Voters = VoterSource{
		Keys: []string{votersKey},
		Weights: func(values map[string][]byte) map[string]int {
			var weights map[string]int
			_ = json.Unmarshal(values[votersKey], &weights)
			return weights
		},
	}
	return settings
}

// testCluster is a set of nodes whose messages arrive immediately, over links that tests can cut.
type testCluster struct {
	now   clock.Micros
	nodes map[string]*Node // by name, which is also the address
	names []string
	// isolated nodes neither run nor receive.
	isolated map[string]bool
	// drops, if set, reports whether a message is lost.
	drops func(body any) bool
	// partitioned, if set, reports whether two nodes can't reach each other.
	partitioned func(a, b string) bool
}

// newTestCluster returns a cluster of nodes spread over a number of zones.
func newTestCluster(count, zones int) *testCluster {
	c := &testCluster{now: 1_000_000, nodes: map[string]*Node{}, isolated: map[string]bool{}}
	seeds := []string{"d00", "d01", "d02"}
	for i := range count {
		name := fmt.Sprintf("d%02d", i)
		self := membership.Member{ID: name, Kind: membership.Edge, Peer: name, Zone: fmt.Sprint(i % zones), Incarnation: 1}
		c.names = append(c.names, name)
		c.nodes[name] = New(self, seeds, Defaults(), int64(i+1))
	}
	return c
}

// do applies a command at a node and delivers the messages that result.
func (c *testCluster) do(name string, command Command) {
	c.deliver(name, c.nodes[name].Do(command, c.now))
}

func (c *testCluster) deliver(from string, effects []machine.Effect) {
	for _, effect := range effects {
		if send, ok := effect.(machine.Send); ok && c.arrives(from, send) {
			c.do(send.To, Message{From: from, Body: send.Body})
		}
	}
}

func (c *testCluster) arrives(from string, send machine.Send) bool {
	switch {
	case c.nodes[send.To] == nil, c.isolated[from], c.isolated[send.To]:
		return false
	case c.drops != nil && c.drops(send.Body):
		return false
	}
	return c.partitioned == nil || !c.partitioned(from, send.To)
}

// advance advances the time in ticks of 20 ms.
func (c *testCluster) advance(span clock.Micros) {
	for end := c.now + span; c.now < end; {
		c.now += 20 * clock.Millisecond
		for _, name := range c.names {
			if !c.isolated[name] {
				c.do(name, Tick{})
			}
		}
	}
}

// statusOf returns the status that a node has recorded for a member.
func (c *testCluster) statusOf(t *testing.T, at, of string) membership.Status {
	t.Helper()
	for _, member := range c.nodes[at].Members() {
		if member.ID == of {
			return member.Status
		}
	}
	t.Fatalf("%s does not know %s", at, of)
	return 0
}

// expectUpdateEverywhere fails the test unless every node has an update of the key.
func (c *testCluster) expectUpdateEverywhere(t *testing.T, key string) {
	t.Helper()
	for _, name := range c.names {
		if _, ok := c.nodes[name].Update(key); !ok {
			t.Fatalf("%s has not received %s", name, key)
		}
	}
}
