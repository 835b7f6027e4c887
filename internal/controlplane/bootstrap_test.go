package controlplane

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// A founder that won its term and waits until its replicas hold the state does not
// found again: the founders would grant the second term and refuse to commit the first.
func TestAFounderThatWonDoesNotFoundAgain(t *testing.T) {
	b := newBench(small())
	for i := 1; i <= 3; i++ {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
	}
	until := b.now + 300*clock.Millisecond
	b.drop = func(l letter) bool {
		_, isCopy := l.body.(replication.SnapshotChunk)
		return isCopy && b.now < until
	}
	b.pass(clock.Second)
	if founder := b.cores["c1"]; founder.election.TermsWon != 1 || founder.Vote().Term != 1 || !founder.IsServing() {
		t.Errorf("a second on, the founder won %d terms, the last granted is %d, it serves: %v; wanted the first alone", founder.election.TermsWon, founder.Vote().Term, founder.IsServing())
	}
}
