package gossip

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// Comparing digests repairs every lost update, even if dissemination fails completely.
func TestDigestsRepairLostUpdates(t *testing.T) {
	c := newTestCluster(9, 1)
	c.advance(3 * clock.Second)
	c.drops = func(body any) bool {
		_, isGossip := body.(Gossip)
		return isGossip
	}
	c.do("d03", Publish{machine.Update{Key: "plan", Seq: 1, Value: []byte("x")}})
	c.advance(4 * clock.Second)
	c.expectUpdateEverywhere(t, "plan")
}
