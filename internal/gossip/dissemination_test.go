package gossip

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// A large update is sent to each daemon about once, not by every peer that has it, even if the first
// fetch is not answered.
func TestLargeUpdateSentAboutOncePerDaemon(t *testing.T) {
	for _, firstAnswerLost := range []bool{false, true} {
		t.Run(fmt.Sprintf("first answer lost %v", firstAnswerLost), func(t *testing.T) {
			c := newTestCluster(15, 1)
			c.advance(3 * clock.Second)
			copies := 0
			c.drops = func(body any) bool {
				gossip, ok := body.(Gossip)
				if !ok || gossip.Updates[0].Key != "plan" {
					return false
				}
				copies++
				return firstAnswerLost && copies == 1
			}
			c.do("d07", Publish{machine.Update{Key: "plan", Seq: 1, Value: make([]byte, 100<<10)}})
			c.advance(2 * clock.Second)
			c.expectUpdateEverywhere(t, "plan")
			if copies > 20 {
				t.Fatalf("the update was sent %d times to reach 14 daemons, want at most 20", copies)
			}
		})
	}
}
