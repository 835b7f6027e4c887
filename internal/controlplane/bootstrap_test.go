package controlplane

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/replication"
)

// A founder that won its term and waits for its replicas to receive the state does not
// bootstrap again: otherwise the founders would grant the second term and refuse to commit the
// first.
func TestElectedFounderDoesNotBootstrapAgain(t *testing.T) {
	b := newTestCluster(smallSettings())
	for i := 1; i <= 3; i++ {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
	}
	until := b.now + 300*clock.Millisecond
	b.drop = func(l envelope) bool {
		_, isCopy := l.body.(replication.SnapshotChunk)
		return isCopy && b.now < until
	}
	b.advance(clock.Second)
	if founder := b.cores["c1"]; founder.election.TermsWon != 1 || founder.Vote().Term != 1 || !founder.IsServing() {
		t.Errorf("after 1 s the founder has won %d terms, last granted term %d, serving %v; want only term 1, serving", founder.election.TermsWon, founder.Vote().Term, founder.IsServing())
	}
}

// Five founders bootstrap a fleet only when all of them are present and grant it; the fleet
// survives the loss of two of them.
func TestFiveCoresBootstrapAFleet(t *testing.T) {
	settings := smallSettings()
	settings.Founders = 5
	b := newTestCluster(settings)
	add := func(i int) {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i%3), "c1", "c2", "c3", "c4", "c5")
	}
	for i := 1; i <= 4; i++ {
		add(i)
	}
	for i := 1; i <= 3; i++ {
		b.store(fmt.Sprint("store-", i), fmt.Sprint("s", i), fmt.Sprint("zone-", i))
	}
	b.advance(5 * clock.Second)
	for _, core := range b.cores {
		if core.Vote().Fleet != "" {
			t.Fatalf("four of five founders bootstrapped %s", core.Vote().Fleet)
		}
	}
	add(5)
	b.drop = func(l envelope) bool { _, grant := l.body.(election.VoteResponse); return grant && l.from == "c5" }
	b.advance(5 * clock.Second)
	if b.primary() != nil {
		t.Fatal("the fleet was bootstrapped without the vote of one of the five founders")
	}
	b.drop = nil
	b.awaitStable(t)
	if got := fmt.Sprint(b.voters()); got != "[core-1 core-2 core-3 core-4 core-5]" {
		t.Fatalf("voters: %s, want all five cores", got)
	}
	delete(b.cores, b.primary().self.Peer)
	b.advance(10 * clock.Second)
	if b.primary() == nil {
		t.Fatal("four of five cores elected no primary")
	}
	delete(b.cores, b.primary().self.Peer)
	b.advance(10 * clock.Second)
	core := b.primary()
	if core == nil {
		t.Fatal("three of five cores elected no primary")
	}
	call := b.call(core, putRequest(1, 0, `{}`))
	b.deliverAll()
	if answer := b.reply(t, call); answer.Err != nil {
		t.Fatal(answer.Err)
	}
}

// If more empty cores are present than founders are needed, those at the seed addresses
// bootstrap the fleet, regardless of ids and of the order in which the cores appear.
func TestCoresAtSeedAddressesBootstrap(t *testing.T) {
	for _, nonSeedsFirst := range []bool{true, false} {
		b := newTestCluster(smallSettings())
		addNonSeedCores := func() {
			b.core("core-0", "c9", "zone-1", "c1", "c2", "c3")
			b.core("core-4", "c8", "zone-2", "c1", "c2", "c3")
		}
		if nonSeedsFirst {
			addNonSeedCores()
		}
		for i := 1; i <= 3; i++ {
			b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
			b.store(fmt.Sprint("store-", i), fmt.Sprint("s", i), fmt.Sprint("zone-", i))
			b.advance(300 * clock.Millisecond)
		}
		if !nonSeedsFirst {
			addNonSeedCores()
		}
		var first []election.CoreRef
		for i := 0; i < 400 && first == nil; i++ {
			b.advance(50 * clock.Millisecond)
			for _, core := range b.cores {
				if !core.Vote().Committed.IsZero() {
					first = core.Vote().Voters
				}
			}
		}
		if got := fmt.Sprint(idsOf(first)); got != "[core-1 core-2 core-3]" {
			t.Errorf("non-seed cores first %v: bootstrapped by %s", nonSeedsFirst, got)
		}
		// The other cores become voters one at a time.
		b.awaitStable(t)
		b.advance(10 * clock.Second)
		if got := fmt.Sprint(b.voters()); got != "[core-0 core-1 core-2 core-3 core-4]" {
			t.Errorf("non-seed cores first %v: voters %s", nonSeedsFirst, got)
		}
	}
}

// A core that knows more empty cores than founders are needed grants a bootstrap only to the
// founders that it would choose itself, because its vote would bind it to the others.
func TestCoreGrantsBootstrapToItsOwnFoundersOnly(t *testing.T) {
	b := newTestCluster(smallSettings())
	for i := 1; i <= 4; i++ {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c2", "c3", "c4")
	}
	b.drop = func(l envelope) bool { _, isVoteRequest := l.body.(election.VoteRequest); return isVoteRequest }
	b.advance(clock.Second)
	voter := b.cores["c2"]
	var refs []election.CoreRef
	for i := 1; i <= 3; i++ {
		refs = append(refs, b.cores[fmt.Sprint("c", i)].self)
	}
	request := election.VoteRequest{Fleet: "f-core-1", Assignment: replication.Assignment{Epoch: 1}, Voters: refs, Candidate: refs[0], Bootstrap: true}
	voter.Do(Message{"c1", request}, b.now)
	if voter.Vote().Fleet != "" {
		t.Fatal("the core granted a bootstrap to other founders than its own")
	}
	request.Fleet, request.Voters = "f-core-2", append(refs[1:], b.cores["c4"].self)
	voter.Do(Message{"c3", request}, b.now)
	if voter.Vote().Fleet == "" {
		t.Fatal("the core did not grant the bootstrap to its own founders")
	}
}
